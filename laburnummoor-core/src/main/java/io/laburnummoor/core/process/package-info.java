/** Decisions and state that live as long as the process. */
@NullMarked
package io.laburnummoor.core.process;

import org.jspecify.annotations.NullMarked;
