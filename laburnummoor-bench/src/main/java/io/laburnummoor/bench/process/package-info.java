/** Stand-ins for engines and the platform, and the command line of the bench. */
@NullMarked
package io.laburnummoor.bench.process;

import org.jspecify.annotations.NullMarked;
