/** State kept for each known router or upstream. */
@NullMarked
package io.laburnummoor.core.connection;

import org.jspecify.annotations.NullMarked;
