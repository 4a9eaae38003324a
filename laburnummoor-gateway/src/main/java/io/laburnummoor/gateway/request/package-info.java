/** Objects that live as long as one forwarded request. */
@NullMarked
package io.laburnummoor.gateway.request;

import org.jspecify.annotations.NullMarked;
