package io.laburnummoor.gateway.request;

import org.jspecify.annotations.Nullable;

/**
 * The running attempts of one request: the current one and, beside it, a hedged one of a call that takes long or the
 * one that connects to replace a silent one of a stream. Confined to the event loop of the session.
 */
final class RunningAttempts {
    private @Nullable Attempt current;
    private @Nullable Attempt second;

    void startCurrent(Attempt attempt) {
        current = attempt;
    }

    void startSecond(Attempt attempt) {
        second = attempt;
    }

    boolean isCurrent(Attempt attempt) {
        return attempt == current;
    }

    /** Returns whether the attempt is the current or the second one, also after it has ended. */
    boolean contains(Attempt attempt) {
        return attempt == current || attempt == second;
    }

    /** Returns whether an attempt is running. */
    boolean isRunning() {
        return (current != null && !current.hasEnded()) || (second != null && !second.hasEnded());
    }

    boolean hasSecond() {
        return second != null;
    }

    /** Makes the other attempt the current one and returns whether one is running. */
    boolean promoteOther(Attempt ended) {
        if (ended == second) {
            second = null;
        } else if (ended == current) {
            current = second;
            second = null;
        }
        return current != null && !current.hasEnded();
    }

    void setAutoRead(boolean reading) {
        if (current != null) {
            current.setAutoRead(reading);
        }
    }

    void cancelAll() {
        if (current != null) {
            current.cancel();
        }
        if (second != null) {
            second.cancel();
        }
        current = null;
        second = null;
    }
}
