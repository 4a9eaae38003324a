/** Connections to callers, agents and other routers. */
@NullMarked
package io.laburnummoor.router.connection;

import org.jspecify.annotations.NullMarked;
