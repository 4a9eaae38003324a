/** What lives for one forwarded request. */
@NullMarked
package io.laburnummoor.gateway.request;

import org.jspecify.annotations.NullMarked;
