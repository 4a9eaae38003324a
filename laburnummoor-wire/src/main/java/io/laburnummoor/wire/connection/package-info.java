/** Clients of one peer. */
@NullMarked
package io.laburnummoor.wire.connection;

import org.jspecify.annotations.NullMarked;
