package io.laburnummoor.core.process;

import io.laburnummoor.core.connection.UpstreamState;

/** One component of an upstream's score for a request; components are added up and the lowest total is best. */
public interface UpstreamScore {
    /** Returns the score of an upstream, in units of one running request. */
    double score(UpstreamState upstream, SelectionContext context);
}
