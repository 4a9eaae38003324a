/** Types shared by all modules: error codes, clocks, services and snapshots. */
@NullMarked
package io.laburnummoor.core;

import org.jspecify.annotations.NullMarked;
