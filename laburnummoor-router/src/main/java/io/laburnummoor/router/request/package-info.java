/** State and logic that live as long as one request on a router. */
@NullMarked
package io.laburnummoor.router.request;

import org.jspecify.annotations.NullMarked;
