/** Objects that belong to one version of the configuration or of the list of upstreams. */
@NullMarked
package io.laburnummoor.gateway.version;

import org.jspecify.annotations.NullMarked;
