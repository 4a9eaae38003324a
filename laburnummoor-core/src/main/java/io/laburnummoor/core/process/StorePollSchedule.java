package io.laburnummoor.core.process;

/**
 * Decides how a router's store thread polls for changes: how long a call waits for them, and how long the thread pauses
 * after it. Together they limit the age of the known configuration. Stateless.
 */
public final class StorePollSchedule {
    /** Longest wait of a call; its end confirms that the configuration is current. */
    public static final long LONG_POLL_MILLIS = 1_000;
    /** Wait of a call while changes arrive, upstreams may be listed again, or the store has just failed. */
    public static final long SHORT_POLL_MILLIS = 250;

    /** Pause after a failed call. */
    public static final long RETRY_MILLIS = 250;
    /** Changes come in groups; the pause combines those that follow into one call. */
    private static final long AFTER_CHANGES_MILLIS = 750;
    /**
     * Pause while upstreams may still be listed again after an outage of the store. It is shorter, since the registry
     * distinguishes an expired lease from an upstream that leaves by the time at which the removal arrives.
     */
    private static final long CATCH_UP_MILLIS = 350;
    /** Pause between two calls to another router, which cost the store nothing. */
    private static final long RELAYED_MILLIS = 500;

    private StorePollSchedule() {}

    /**
     * Returns how long the next call waits for changes.
     *
     * @param last batch of the last call that succeeded
     * @param unsettled whether upstreams may still be listed again or the last call failed, so that the next one has to
     *     confirm the configuration soon
     */
    public static long waitMillis(ChangeFeed.Batch last, boolean unsettled) {
        return unsettled || !last.changes().isEmpty() ? SHORT_POLL_MILLIS : LONG_POLL_MILLIS;
    }

    /** Returns the pause after a call that returned the given batch. */
    public static long pauseMillis(ChangeFeed.Batch last, boolean catchingUp) {
        if (catchingUp) {
            return CATCH_UP_MILLIS;
        }
        if (last.isRelayed()) {
            return RELAYED_MILLIS;
        }
        return last.changes().isEmpty() ? 0 : AFTER_CHANGES_MILLIS;
    }
}
