package io.laburnummoor.core.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;

/**
 * Tells whether the configuration is recent enough that the withdrawal of a key would be known. Ages are taken from the
 * monotonic and the wall clock, whichever is larger, because the monotonic clock stands still while a VM is suspended.
 */
public final class ConfigFreshness {
    /** The store's watch may miss changes for about a second before it reports that history was dropped. */
    private static final long WATCH_GAP_MILLIS = 1_000;
    /** Covers clocks of different speed and timers that fire late. */
    private static final long CLOCK_MARGIN_MILLIS = 150;

    private final Clock monotonic;
    private final Clock wall;
    private final Snapshot<ReadStart> lastConfirmed = new Snapshot<>(new ReadStart(0, 0, false));

    /** Creates a state without any proof. */
    public ConfigFreshness(Clock monotonic, Clock wall) {
        this.monotonic = monotonic;
        this.wall = wall;
    }

    /** Returns the time to be handed to {@link #confirmRead} if a call that starts now succeeds. */
    public ReadStart startRead() {
        return new ReadStart(monotonic.nowMillis(), wall.nowMillis(), true);
    }

    /** Records that a read of the store which began at the given time has succeeded. */
    public void confirmRead(ReadStart start) {
        lastConfirmed.replace(start);
    }

    /** Returns how old the last proof is, at least. */
    public long ageMillis() {
        ReadStart last = lastConfirmed.get();
        if (!last.valid) {
            return Long.MAX_VALUE;
        }
        return Math.max(monotonic.nowMillis() - last.monotonicMillis, wall.nowMillis() - last.wallMillis);
    }

    /** Returns whether a key that was withdrawn longer ago than the bound would be known by now. */
    public boolean isWithinRevocationBound(long revocationMillis) {
        return ageMillis() <= revocationMillis - WATCH_GAP_MILLIS - CLOCK_MARGIN_MILLIS;
    }

    /** The time at which a call began, on both clocks. */
    public record ReadStart(long monotonicMillis, long wallMillis, boolean valid) {}
}
