package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.List;

/**
 * State of one declared rollout as stored in the key-value service; immutable. The state of a rollout that an operator
 * ordered is a {@link RolloutStep}.
 *
 * @param name name of the rollout
 * @param service service whose version changes
 * @param fromVersion version that serves before the rollout
 * @param toVersion version that serves after the rollout
 * @param phase whether it is running, otherwise its outcome
 * @param step index of the current step
 * @param startedAtMillis wall-clock time of the start
 * @param stepAtMillis wall-clock time of the current step
 * @param completeByMillis wall-clock time by which it is to be completed
 * @param lateReported whether it was reported to operators that it cannot be completed in time
 * @param change number of the last change; increases with each change
 * @param events most recent events, the latest last
 */
public record RolloutState(
        String name,
        String service,
        String fromVersion,
        String toVersion,
        Phase phase,
        int step,
        long startedAtMillis,
        long stepAtMillis,
        long completeByMillis,
        boolean lateReported,
        long change,
        List<Event> events) {
    private static final int MAX_EVENTS = 100;

    /** Returns the state of a rollout that starts now with its first step. */
    public static RolloutState start(RolloutDeclaration declaration, long nowMillis) {
        Event started = new Event(nowMillis, "started", "share " + StepPlan.sharePerMille(0) + " per mille");
        return new RolloutState(
                declaration.name(),
                declaration.service(),
                declaration.fromVersion(),
                declaration.toVersion(),
                Phase.RUNNING,
                0,
                nowMillis,
                nowMillis,
                declaration.completeByMillis(),
                false,
                1,
                List.of(started));
    }

    /** Returns the traffic share of the new version, in thousandths of the new requests. */
    public int sharePerMille() {
        return switch (phase) {
            case RUNNING -> StepPlan.sharePerMille(step);
            case COMPLETED, LATE -> StepPlan.sharePerMille(StepPlan.lastStep());
            case ROLLED_BACK -> 0;
        };
    }

    /** Returns this state after a step forward. */
    RolloutState withStep(Phase nextPhase, int nextStep, long nowMillis, String detail) {
        String kind = nextPhase == Phase.RUNNING ? "step" : nextPhase.text();
        return changed(nextPhase, nextStep, nowMillis, lateReported, new Event(nowMillis, kind, detail));
    }

    /** Returns this state after a rollback, by the rules or by an operator. */
    public RolloutState rolledBack(long nowMillis, String detail) {
        Event event = new Event(nowMillis, Phase.ROLLED_BACK.text(), detail);
        return changed(Phase.ROLLED_BACK, step, nowMillis, lateReported, event);
    }

    /** Returns this state after it was reported that the rollout cannot be completed in time. */
    RolloutState reportedLate(long nowMillis, String detail) {
        return changed(phase, step, stepAtMillis, true, new Event(nowMillis, "late", detail));
    }

    private RolloutState changed(Phase nextPhase, int nextStep, long nextStepAtMillis, boolean late, Event event) {
        List<Event> next = new ArrayList<>(events.subList(Math.max(0, events.size() + 1 - MAX_EVENTS), events.size()));
        next.add(event);
        return new RolloutState(
                name,
                service,
                fromVersion,
                toVersion,
                nextPhase,
                nextStep,
                startedAtMillis,
                nextStepAtMillis,
                completeByMillis,
                late,
                change + 1,
                List.copyOf(next));
    }

    /** Whether a rollout is running, otherwise its outcome. An outcome is final. */
    public enum Phase {
        /** The traffic share of the new version is being raised. */
        RUNNING("running"),
        /** The new version got all traffic before the deadline. */
        COMPLETED("completed"),
        /** The new version got all traffic after the deadline. */
        LATE("late"),
        /** The new version gets no traffic; the old version serves all requests. */
        ROLLED_BACK("rolled_back");

        private final String text;

        Phase(String text) {
            this.text = text;
        }

        /** Returns the stable name of this phase. */
        public String text() {
            return text;
        }
    }

    /**
     * Entry of a rollout's history.
     *
     * @param atMillis wall-clock time of the event
     * @param kind {@code started}, {@code step}, {@code late}, {@code completed} or {@code rolled_back}
     * @param detail evidence with its numbers
     */
    public record Event(long atMillis, String kind, String detail) {}
}
