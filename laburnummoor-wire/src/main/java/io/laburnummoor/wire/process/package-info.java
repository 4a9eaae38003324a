/** Adapters that live as long as the process: settings, logs, key-value service, VM list, HTTP clients. */
@NullMarked
package io.laburnummoor.wire.process;

import org.jspecify.annotations.NullMarked;
