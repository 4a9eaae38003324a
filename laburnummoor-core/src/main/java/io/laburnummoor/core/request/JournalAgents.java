package io.laburnummoor.core.request;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/** Selects the agents that store journals. */
public interface JournalAgents {
    /** Returns the preferred agent for an entry, outside the router's failure domain if one is alive there, or null. */
    @Nullable
    JournalAgent select(RequestId id, Set<String> excludedAgentIds);

    /** Returns the agents that may hold the entry of a request, including the named one if it is known. */
    List<JournalAgent> readCandidates(RequestId id, @Nullable String namedAgentId);
}
