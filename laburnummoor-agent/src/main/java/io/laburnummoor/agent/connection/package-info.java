/** The agent's view of the upstream beside it. */
@NullMarked
package io.laburnummoor.agent.connection;

import org.jspecify.annotations.NullMarked;
