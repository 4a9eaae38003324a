package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.process.ExpectedTime;

/**
 * Expected and measured times of one attempt, for services whose upstreams are selected by the expected time. Confined
 * to the event loop of the session.
 */
final class AttemptTiming {
    /** Time since the last sign of an upstream, whose connections are probed every 250 ms, up to which it is alive. */
    private static final long ALIVE_MILLIS = 500;

    private final ExpectedTime expectedTime;
    private final InstanceState target;
    private final ExpectedTime.Estimate expected;
    private final long promptTokens;
    private final long longPromptTokens;
    private final boolean prefillsPrompt;
    private final long startedAtMillis;
    private long firstEventMillis;
    private boolean prefillDone;
    private boolean unreachable;
    private boolean abandonedAlive;

    /**
     * Creates the timing of an attempt that starts now.
     *
     * @param longPromptTokens tokens that count as those of a long prompt on the upstream until the first event
     * @param prefillsPrompt whether the upstream prefills the prompt; a run that resumes from a backup takes some
     *     milliseconds to its first event, which would count as a prefill rate of hundreds of tokens a millisecond
     */
    AttemptTiming(
            ExpectedTime expectedTime,
            InstanceState target,
            ExpectedTime.Estimate expected,
            long promptTokens,
            long longPromptTokens,
            boolean prefillsPrompt,
            long startedAtMillis) {
        this.expectedTime = expectedTime;
        this.target = target;
        this.expected = expected;
        this.promptTokens = promptTokens;
        this.longPromptTokens = longPromptTokens;
        this.prefillsPrompt = prefillsPrompt;
        this.startedAtMillis = startedAtMillis;
        target.addLongPrefillTokens(longPromptTokens);
    }

    ExpectedTime.Estimate expected() {
        return expected;
    }

    /** Removes the tokens of a long prompt from the upstream's load; further calls have no effect. */
    void prefillEnded() {
        if (!prefillDone) {
            prefillDone = true;
            target.addLongPrefillTokens(-longPromptTokens);
        }
    }

    void firstEvent(long nowMillis) {
        firstEventMillis = nowMillis;
        if (prefillsPrompt) {
            expectedTime.recordFirstEvent(target, expected, promptTokens, nowMillis - startedAtMillis, nowMillis);
        }
    }

    void streamEnded(long nowMillis) {
        if (firstEventMillis != 0) {
            expectedTime.recordDecode(target, nowMillis - firstEventMillis, nowMillis);
        }
    }

    void callCompleted(long nowMillis) {
        expectedTime.recordCall(target, expected, nowMillis - startedAtMillis, nowMillis);
    }

    /** Records whether the upstream accepted a connection. */
    void recordProbe(boolean alive) {
        unreachable = !alive;
    }

    /** Records that the attempt is given up for another one. */
    void abandoned(long nowMillis) {
        abandonedAlive = !unreachable && nowMillis - target.lastSeenMillis() <= ALIVE_MILLIS;
        if (firstEventMillis == 0 && prefillsPrompt) {
            expectedTime.recordAbandoned(target, expected, nowMillis - startedAtMillis, nowMillis);
        }
    }

    boolean wasAbandonedAlive() {
        return abandonedAlive;
    }
}
