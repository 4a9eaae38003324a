/** State kept about one known peer or upstream. */
@NullMarked
package io.laburnummoor.core.connection;

import org.jspecify.annotations.NullMarked;
