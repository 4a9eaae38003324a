package io.laburnummoor.core.request;

import java.util.List;

/**
 * Selects the upstream version of a new request. A retry of the request gets the same version while the traffic share
 * is unchanged.
 */
public interface VersionSelector {
    /**
     * Returns the versions that may serve a new request, preferred one first; an empty string stands for any version.
     *
     * @param activeVersion declared version of the service when no rollout runs
     */
    List<String> versionsFor(String service, String activeVersion, RequestId request);
}
