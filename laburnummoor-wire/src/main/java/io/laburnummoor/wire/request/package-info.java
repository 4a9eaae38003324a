/** Encoding of the messages of one request. */
@NullMarked
package io.laburnummoor.wire.request;

import org.jspecify.annotations.NullMarked;
