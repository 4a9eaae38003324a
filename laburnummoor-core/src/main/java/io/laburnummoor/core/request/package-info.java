/** Decisions and state whose lifetime is one request. */
@NullMarked
package io.laburnummoor.core.request;

import org.jspecify.annotations.NullMarked;
