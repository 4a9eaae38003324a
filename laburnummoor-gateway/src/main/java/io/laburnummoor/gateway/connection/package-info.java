/** Objects that live as long as one connection to a caller or an upstream. */
@NullMarked
package io.laburnummoor.gateway.connection;

import org.jspecify.annotations.NullMarked;
