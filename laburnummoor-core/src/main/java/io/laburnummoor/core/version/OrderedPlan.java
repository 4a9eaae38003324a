package io.laburnummoor.core.version;

/**
 * Shares of an ordered rollout, which lasts seconds. The first share is small; the second uses a part of what a bad
 * version may get, so that it shows as early as the bound allows; all traffic follows once enough answers were judged.
 */
public final class OrderedPlan {
    private static final int FULL_SHARE_PER_MILLE = 1_000;
    private static final int FIRST_SHARE_PER_MILLE = 50;
    private static final int MAX_TRIAL_SHARE_PER_MILLE = 400;
    /** Part of the time after which the number of requests during the order can be estimated. */
    private static final double ESTIMATE_FRACTION = 0.08;
    /** Part of the bound that the trial may use. */
    private static final double TRIAL_ALLOWANCE = 0.35;
    /** Part of the bound that all traffic before the completion may use; the rest is for the delay of each step. */
    private static final double FULL_SHARE_ALLOWANCE = 0.4;

    private static final long MIN_TRIALS = 10;
    /** Part of the time after which a version that has all traffic and looks good is completed. */
    private static final double COMPLETION_FRACTION = 0.93;

    private static final double DECISION_FRACTION = 0.95;
    /** All traffic comes no earlier than this, however low the rate is. */
    private static final double EARLIEST_FULL_SHARE_FRACTION = 0.5;

    private final ExposureBound bound;

    /** Creates a plan that keeps a bound. */
    public OrderedPlan(ExposureBound bound) {
        this.bound = bound;
    }

    /**
     * Returns the share that is due.
     *
     * @param elapsedFraction part of the order's time that has passed
     * @param newTrials judged answers of the new version
     * @param allTrials judged answers of both versions
     */
    public int sharePerMille(double elapsedFraction, long newTrials, long allTrials) {
        if (elapsedFraction < ESTIMATE_FRACTION || allTrials == 0) {
            return FIRST_SHARE_PER_MILLE;
        }
        double requests = allTrials / elapsedFraction;
        double allowed = bound.share() * requests + bound.extraRequests();
        double fullShareFraction = COMPLETION_FRACTION - FULL_SHARE_ALLOWANCE * allowed / requests;
        if (elapsedFraction >= Math.max(EARLIEST_FULL_SHARE_FRACTION, fullShareFraction) && newTrials >= MIN_TRIALS) {
            return FULL_SHARE_PER_MILLE;
        }
        long share = Math.round(FULL_SHARE_PER_MILLE * TRIAL_ALLOWANCE * allowed / requests);
        return (int) Math.max(FIRST_SHARE_PER_MILLE, Math.min(MAX_TRIAL_SHARE_PER_MILLE, share));
    }

    /** Returns whether the outcome cannot wait for more evidence. */
    public static boolean isDecisionDue(double elapsedFraction) {
        return elapsedFraction >= DECISION_FRACTION;
    }

    /** Returns whether a version with all traffic is completed now. */
    public boolean isComplete(double elapsedFraction, int sharePerMille) {
        return sharePerMille == FULL_SHARE_PER_MILLE && elapsedFraction >= COMPLETION_FRACTION;
    }
}
