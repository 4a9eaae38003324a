/** Configuration revisions and version rollouts on a router. */
@NullMarked
package io.laburnummoor.router.version;

import org.jspecify.annotations.NullMarked;
