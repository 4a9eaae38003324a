/** Decisions and state that live for one request. */
@NullMarked
package io.laburnummoor.core.request;

import org.jspecify.annotations.NullMarked;
