/** The agent process: command line, settings, Thrift server. */
@NullMarked
package io.laburnummoor.agent.process;

import org.jspecify.annotations.NullMarked;
