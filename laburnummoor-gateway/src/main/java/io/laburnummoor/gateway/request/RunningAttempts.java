package io.laburnummoor.gateway.request;

import org.jspecify.annotations.Nullable;

/**
 * The running attempts of one request: the current one and, for a call that takes long, a hedged one beside it.
 * Confined to the event loop of the session.
 */
final class RunningAttempts {
    private @Nullable Attempt current;
    private @Nullable Attempt hedge;

    void startCurrent(Attempt attempt) {
        current = attempt;
    }

    void startHedge(Attempt attempt) {
        hedge = attempt;
    }

    boolean isCurrent(Attempt attempt) {
        return attempt == current;
    }

    boolean isHedged() {
        return hedge != null;
    }

    /** Makes the other attempt of a hedged call the current one and returns whether one is running. */
    boolean promoteOther(Attempt ended) {
        if (ended == hedge) {
            hedge = null;
        } else if (ended == current) {
            current = hedge;
            hedge = null;
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
        if (hedge != null) {
            hedge.cancel();
        }
        current = null;
        hedge = null;
    }
}
