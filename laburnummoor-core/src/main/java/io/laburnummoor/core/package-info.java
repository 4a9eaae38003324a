/** Types used by every part of the system: error codes, time and services. */
@NullMarked
package io.laburnummoor.core;

import org.jspecify.annotations.NullMarked;
