/** The router process: command line, settings, HTTP server, membership. */
@NullMarked
package io.laburnummoor.router.process;

import org.jspecify.annotations.NullMarked;
