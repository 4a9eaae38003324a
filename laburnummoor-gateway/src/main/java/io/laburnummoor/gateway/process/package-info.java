/** Objects that live as long as the gateway process. */
@NullMarked
package io.laburnummoor.gateway.process;

import org.jspecify.annotations.NullMarked;
