/** Types with the lifetime of one upstream version or one configuration revision. */
@NullMarked
package io.laburnummoor.core.version;

import org.jspecify.annotations.NullMarked;
