/** Objects that live as long as a router process: command line, settings, HTTP server, membership and claims. */
@NullMarked
package io.laburnummoor.router.process;

import org.jspecify.annotations.NullMarked;
