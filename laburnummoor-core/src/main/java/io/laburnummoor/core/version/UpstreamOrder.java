package io.laburnummoor.core.version;

/**
 * An order of the rollout controller to one upstream.
 *
 * @param id unique; an order that is sent again keeps it
 * @param token fencing token of the controller that gives it
 * @param kind what is to be done
 * @param target model, adapter, version or role; empty to drain
 * @param deadlineMillis wall-clock time after which it must not be started
 */
public record UpstreamOrder(String id, long token, Kind kind, String target, long deadlineMillis) {
    /** What is to be done. */
    public enum Kind {
        /** Load a model. */
        LOAD_MODEL,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Load a version and serve it from then on. */
        LOAD_VERSION,
        /** Change the role of the upstream. */
        CHANGE_ROLE,
        /** Take no new work. */
        DRAIN
    }

    /** What became of an order. */
    public enum Result {
        /** It is carried out, now or when it was sent before. */
        DONE,
        /** A later controller is in force. */
        STALE,
        /** The token could not be checked; the order may be sent again. */
        FENCE_UNKNOWN,
        /** The deadline has passed. */
        EXPIRED,
        /** The upstream refused or did not answer; the order may be sent again. */
        FAILED
    }
}
