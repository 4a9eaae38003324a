package io.laburnummoor.core.version;

/**
 * Order from the rollout controller to one upstream.
 *
 * @param id unique id; a resent order has the same one
 * @param fencingToken fencing token of the controller that sends it
 * @param kind action to perform
 * @param target model, adapter, version or role; empty to drain
 * @param deadlineMillis wall-clock time after which it must not be started
 */
public record UpstreamOrder(String id, long fencingToken, Kind kind, String target, long deadlineMillis) {
    /** Action to perform. */
    public enum Kind {
        /** Load a model. */
        LOAD_MODEL,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Load a version and switch to it. */
        LOAD_VERSION,
        /** Change the role of the upstream. */
        CHANGE_ROLE,
        /** Accept no new work. */
        DRAIN
    }

    /** Result of an order. */
    public enum Result {
        /** It has been executed, now or when it was sent earlier. */
        DONE,
        /** A later controller has taken over. */
        STALE,
        /** The fencing token could not be checked; the order may be sent again. */
        FENCE_UNKNOWN,
        /** The deadline has passed. */
        EXPIRED,
        /** The upstream refused the order or did not answer; the order may be sent again. */
        FAILED
    }
}
