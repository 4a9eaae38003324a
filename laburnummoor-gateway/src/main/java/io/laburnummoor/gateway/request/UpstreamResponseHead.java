package io.laburnummoor.gateway.request;

import org.jspecify.annotations.Nullable;

/**
 * What the head of an upstream's answer says.
 *
 * @param status HTTP status
 * @param attemptId id of the attempt that it answers, or null if it names none
 * @param sealed whether it carries the upstream's signature
 * @param notExecuted whether the upstream states that the request did not and will not run
 * @param wrongIncarnation whether another life of the upstream has taken the address
 * @param contentEncoded whether the body is not the upstream's own bytes
 * @param load load of the upstream, or null if it does not tell
 * @param keepAliveSeconds time that the upstream keeps an idle connection; 0 if it does not say
 */
public record UpstreamResponseHead(
        int status,
        @Nullable String attemptId,
        boolean sealed,
        boolean notExecuted,
        boolean wrongIncarnation,
        boolean contentEncoded,
        @Nullable Load load,
        int keepAliveSeconds) {
    /** Returns whether the status says success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Load that an upstream tells with an answer.
     *
     * @param running requests that run
     * @param waiting requests that wait
     */
    public record Load(int running, int waiting) {}
}
