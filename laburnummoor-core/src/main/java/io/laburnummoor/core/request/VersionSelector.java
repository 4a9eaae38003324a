package io.laburnummoor.core.request;

import java.util.List;

/** Chooses the upstream version of a new request; a retry of the request gets the same choice at the same share. */
public interface VersionSelector {
    /**
     * Returns the versions that may serve a new request, the preferred one first; an empty text stands for any.
     *
     * @param activeVersion declared version of the service when no rollout runs
     */
    List<String> versionsFor(String service, String activeVersion, RequestId request);
}
