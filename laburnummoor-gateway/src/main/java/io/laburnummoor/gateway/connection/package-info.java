/** What lives for one connection to a caller or an upstream. */
@NullMarked
package io.laburnummoor.gateway.connection;

import org.jspecify.annotations.NullMarked;
