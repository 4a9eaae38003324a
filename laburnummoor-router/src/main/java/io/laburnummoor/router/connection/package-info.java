/** Connections to callers and to agents. */
@NullMarked
package io.laburnummoor.router.connection;

import org.jspecify.annotations.NullMarked;
