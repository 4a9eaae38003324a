package io.laburnummoor.core.connection;

import io.laburnummoor.core.Snapshot;
import org.jspecify.annotations.Nullable;

/**
 * How long work takes on one upstream in relation to usual: 1 is usual, 2 takes twice as long. Answers a load pattern
 * in which upstreams differ in speed and become slower by a multiple for fractions of a second: the last report holds
 * for about as long as such a period, and after it the average of this upstream is the best estimate.
 *
 * <p>Measured times are kept apart from the reports, as a correction of them. Reports may or may not include the
 * permanent speed of the upstream's machine, and in both cases the product of the two converges to the measured time.
 */
public final class UpstreamPace {
    /** Time constant with which a report gives way to the average of the upstream. */
    static final double REPORT_DECAY_MILLIS = 250;
    /** Age from which a report counts fully in the average; several reports of one slow period count as one. */
    private static final double FULL_WEIGHT_INTERVAL_MILLIS = 600;

    private static final double MAX_WEIGHT = 0.2;
    /** Number of measurements from which each one counts with the usual weight; the first ones count more. */
    private static final int KNOWN_FROM_COUNT = 3;
    /** Time constant with which the correction returns to 1, so that an upstream that was avoided is tried again. */
    private static final double CORRECTION_DECAY_MILLIS = 60_000;
    /** Bounds of one measured ratio: a single request that waited for another reason must not decide. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 8;
    /** A measurement arrives with several messages, each of which may make its time differ by some milliseconds. */
    private static final long MIN_PEER_INTERVAL_MILLIS = 50;

    private static final double PERCENT = 100;
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Snapshot<State> state =
            new Snapshot<>(new State(0, NEVER_MILLIS, false, 1, 1, NEVER_MILLIS, false, 1, 0));

    /** Records a report that the upstream sent to this router. */
    public void recordReport(int pacePercent, long atMillis) {
        state.update(before -> before.withReport(pacePercent / PERCENT, atMillis, true));
    }

    /** Records what another router knows, unless something newer is known. */
    public void recordPeer(ReportedPace peer, long nowMillis) {
        long atMillis = nowMillis - Math.max(0, peer.ageMillis());
        if (peer.percent() > 0) {
            state.update(before -> before.withReport(peer.percent() / PERCENT, atMillis, false));
        }
        if (peer.measuredPercent() > 0) {
            double ratio = bounded(peer.measuredPercent() / PERCENT);
            state.update(before -> atMillis - before.measuredAtMillis < MIN_PEER_INTERVAL_MILLIS
                    ? before
                    : before.withMeasured(ratio, atMillis, false));
        }
    }

    /**
     * Returns what this router itself knows from a response within some time, or null. Without the other routers'
     * measurements, an upstream that serves a request every few seconds is measured once in minutes by each of them.
     */
    public @Nullable ReportedPace ownWithin(String upstreamId, long maxAgeMillis, long nowMillis) {
        State current = state.get();
        boolean reported = current.ownReport && nowMillis - current.reportedAtMillis <= maxAgeMillis;
        boolean measured = current.ownMeasured && nowMillis - current.measuredAtMillis <= maxAgeMillis;
        if (!reported && !measured) {
            return null;
        }
        return new ReportedPace(
                upstreamId,
                reported ? reportedPercent() : 0,
                measured ? (int) Math.round(current.lastRatio * PERCENT) : 0,
                nowMillis - (measured ? current.measuredAtMillis : current.reportedAtMillis));
    }

    /** Records the time that work took, divided by the time expected at the reported pace. */
    public void recordMeasured(double ratio, long nowMillis) {
        double bounded = bounded(ratio);
        state.update(before -> before.withMeasured(bounded, nowMillis, true));
    }

    private static double bounded(double ratio) {
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    }

    /** Returns whether the upstream has reported its pace. */
    public boolean isReported() {
        return state.get().reportedAtMillis != NEVER_MILLIS;
    }

    /** Returns whether enough times were measured to know the speed of the upstream. */
    public boolean isMeasured() {
        return state.get().measuredCount >= KNOWN_FROM_COUNT;
    }

    /** Returns the pace last reported, in percent of usual; 0 if none was reported. */
    public int reportedPercent() {
        return (int) Math.round(state.get().reported * PERCENT);
    }

    /** Returns the age of the last report, or -1 if there is none. */
    public long reportAgeMillis(long nowMillis) {
        State current = state.get();
        return current.reportedAtMillis == NEVER_MILLIS ? -1 : Math.max(0, nowMillis - current.reportedAtMillis);
    }

    /** Returns the expected pace by the reports alone. */
    public double reported(long nowMillis) {
        return state.get().reportedPace(nowMillis);
    }

    /** Returns the expected pace by the reports and the measured times. */
    public double expected(long nowMillis) {
        State current = state.get();
        return current.reportedPace(nowMillis) * current.currentCorrection(nowMillis);
    }

    /**
     * Reports and measurements so far.
     *
     * @param reported last reported pace; 0 if none
     * @param reportedAtMillis time of the last report
     * @param ownReport whether the last report was sent to this router
     * @param learned moving average of the reports
     * @param correction moving average of the measured ratios
     * @param measuredAtMillis time of the last measurement
     * @param ownMeasured whether this router made the last measurement
     * @param lastRatio ratio of the last measurement
     * @param measuredCount number of measurements, up to {@link #KNOWN_FROM_COUNT}
     */
    private record State(
            double reported,
            long reportedAtMillis,
            boolean ownReport,
            double learned,
            double correction,
            long measuredAtMillis,
            boolean ownMeasured,
            double lastRatio,
            int measuredCount) {
        State withReport(double pace, long atMillis, boolean own) {
            if (atMillis < reportedAtMillis) {
                return this;
            }
            double weight = reportedAtMillis == NEVER_MILLIS
                    ? MAX_WEIGHT
                    : MAX_WEIGHT * Math.min(1, (atMillis - reportedAtMillis) / FULL_WEIGHT_INTERVAL_MILLIS);
            double average = learned + weight * (pace - learned);
            return new State(
                    pace, atMillis, own, average, correction, measuredAtMillis, ownMeasured, lastRatio, measuredCount);
        }

        State withMeasured(double ratio, long atMillis, boolean own) {
            double before = currentCorrection(atMillis);
            double weight = Math.max(MAX_WEIGHT, 1.0 / (measuredCount + 2));
            double average = before + weight * (ratio - before);
            int count = Math.min(KNOWN_FROM_COUNT, measuredCount + 1);
            return new State(reported, reportedAtMillis, ownReport, learned, average, atMillis, own, ratio, count);
        }

        double reportedPace(long nowMillis) {
            if (reportedAtMillis == NEVER_MILLIS) {
                return 1;
            }
            double age = Math.max(0, nowMillis - reportedAtMillis);
            return learned + (reported - learned) * Math.exp(-age / REPORT_DECAY_MILLIS);
        }

        double currentCorrection(long nowMillis) {
            if (measuredAtMillis == NEVER_MILLIS) {
                return 1;
            }
            double age = Math.max(0, nowMillis - measuredAtMillis);
            return 1 + (correction - 1) * Math.exp(-age / CORRECTION_DECAY_MILLIS);
        }
    }
}
