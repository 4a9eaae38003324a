/** Single requests of the load tool and their checks. */
@NullMarked
package io.laburnummoor.bench.request;

import org.jspecify.annotations.NullMarked;
