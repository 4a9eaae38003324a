package io.laburnummoor.core.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;

/**
 * Determines whether a gateway's configuration is recent enough for the revocation of an API key to be known. The age
 * is measured on the monotonic and the wall clock and the larger one is used, because the monotonic clock stops while a
 * VM is suspended. The store thread confirms reads; any thread queries the age.
 */
public final class ConfigFreshness {
    /** The store's watch may miss changes for about a second before it reports that history was dropped. */
    private static final long WATCH_GAP_MILLIS = 1_000;
    /** Allowance for clock drift and late timers. */
    private static final long CLOCK_MARGIN_MILLIS = 150;

    private final Clock monotonic;
    private final Clock wall;
    private final Snapshot<ReadStart> lastConfirmed = new Snapshot<>(new ReadStart(0, 0, false));

    /** Creates a state without a confirmed read. */
    public ConfigFreshness(Clock monotonic, Clock wall) {
        this.monotonic = monotonic;
        this.wall = wall;
    }

    /** Returns the start time to pass to {@link #confirmRead} if a read that starts now succeeds. */
    public ReadStart startRead() {
        return new ReadStart(monotonic.nowMillis(), wall.nowMillis(), true);
    }

    /** Records that a store read with the given start time has succeeded. */
    public void confirmRead(ReadStart start) {
        lastConfirmed.replace(start);
    }

    /** Returns the time since the last confirmed read started, {@code Long.MAX_VALUE} if there is none. */
    public long ageMillis() {
        ReadStart last = lastConfirmed.get();
        if (!last.valid) {
            return Long.MAX_VALUE;
        }
        return Math.max(monotonic.nowMillis() - last.monotonicMillis, wall.nowMillis() - last.wallMillis);
    }

    /** Returns whether every revocation that is older than the bound is known by now. */
    public boolean isWithinRevocationBound(long revocationMillis) {
        return ageMillis() <= revocationMillis - WATCH_GAP_MILLIS - CLOCK_MARGIN_MILLIS;
    }

    /** The start time of a store read on both clocks; not valid until a read is confirmed. */
    public record ReadStart(long monotonicMillis, long wallMillis, boolean valid) {
        /** Returns a moment before or after this one. */
        public ReadStart plus(long offsetMillis) {
            return new ReadStart(monotonicMillis + offsetMillis, wallMillis + offsetMillis, valid);
        }
    }
}
