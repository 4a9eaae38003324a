package io.laburnummoor.core.process;

import io.laburnummoor.core.connection.UpstreamState;

/** One aspect of how well an upstream suits a request; the scores of all aspects are added, lower is better. */
public interface UpstreamScore {
    /** Returns the score of an upstream, in units of one running request. */
    double score(UpstreamState upstream, SelectionContext context);
}
