/** Encoding of configuration records. */
@NullMarked
package io.laburnummoor.wire.version;

import org.jspecify.annotations.NullMarked;
