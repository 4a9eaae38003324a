/** One running request on a router. */
@NullMarked
package io.laburnummoor.router.request;

import org.jspecify.annotations.NullMarked;
