package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.List;

/**
 * State of one rollout as it is kept in the key-value service; immutable.
 *
 * @param name name of the rollout
 * @param service service whose version changes
 * @param fromVersion version that serves before
 * @param toVersion version that serves afterwards
 * @param phase whether it runs, and otherwise its outcome
 * @param step number of the present step
 * @param startedAtMillis wall-clock time of the start
 * @param stepAtMillis wall-clock time of the present step
 * @param completeByMillis wall-clock time by which it is to be completed
 * @param lateReported whether operators were told that it cannot be completed in time
 * @param change number of the last change; it only grows
 * @param events what happened, the latest last
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

    /** Returns the share of new requests that go to the new version, in thousandths. */
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

    /** Returns this state after the report that it cannot be completed in time. */
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

    /** Whether a rollout runs, and otherwise its outcome. An outcome is final. */
    public enum Phase {
        /** The share of the new version is still being raised. */
        RUNNING("running"),
        /** The new version has all traffic, in time. */
        COMPLETED("completed"),
        /** The new version has all traffic, after the deadline. */
        LATE("late"),
        /** The new version gets no traffic any more. */
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
     * Something that happened to a rollout.
     *
     * @param atMillis wall-clock time
     * @param kind {@code started}, {@code step}, {@code late}, {@code completed} or {@code rolled_back}
     * @param detail evidence and figures
     */
    public record Event(long atMillis, String kind, String detail) {}
}
