package io.laburnummoor.core.version;

/**
 * Traffic shares of a rollout that an operator ordered, which lasts seconds. The first share is small. The second one
 * uses a fixed part of the exposure bound, so that a bad version is found as early as the bound allows. The new version
 * gets all traffic once enough of its answers were evaluated.
 */
public final class OrderedPlan {
    private static final int FULL_SHARE_PER_MILLE = 1_000;
    private static final int FIRST_SHARE_PER_MILLE = 50;
    private static final int MAX_SECOND_SHARE_PER_MILLE = 400;
    /** Fraction of the time after which the number of requests during the rollout can be estimated. */
    private static final double ESTIMATE_FRACTION = 0.08;
    /** Fraction of the exposure bound that the second share may use. */
    private static final double SECOND_SHARE_EXPOSURE_FRACTION = 0.35;
    /** Fraction of the exposure bound for all traffic before the completion; the rest covers the delay of each step. */
    private static final double FULL_SHARE_EXPOSURE_FRACTION = 0.4;

    /** Number of evaluated answers of the new version before it may get all traffic. */
    private static final long MIN_NEW_VERSION_ANSWERS = 10;
    /** Fraction of the time after which the rollout is completed if the new version has all traffic and looks good. */
    private static final double COMPLETION_FRACTION = 0.93;

    /** Fraction of the time after which the outcome is decided without more evidence. */
    private static final double DECISION_FRACTION = 0.95;
    /** Fraction of the time before which the new version never gets all traffic, however low the request rate is. */
    private static final double EARLIEST_FULL_SHARE_FRACTION = 0.5;

    private final ExposureBound bound;

    /** Creates a plan that keeps the given exposure bound. */
    public OrderedPlan(ExposureBound bound) {
        this.bound = bound;
    }

    /**
     * Returns the traffic share for the current time.
     *
     * @param elapsedFraction elapsed fraction of the time for the rollout
     * @param newTrials evaluated answers of the new version
     * @param allTrials evaluated answers of both versions
     */
    public int sharePerMille(double elapsedFraction, long newTrials, long allTrials) {
        if (elapsedFraction < ESTIMATE_FRACTION || allTrials == 0) {
            return FIRST_SHARE_PER_MILLE;
        }
        double requests = allTrials / elapsedFraction;
        double allowed = bound.share() * requests + bound.extraRequests();
        double fullShareFraction = COMPLETION_FRACTION - FULL_SHARE_EXPOSURE_FRACTION * allowed / requests;
        if (elapsedFraction >= Math.max(EARLIEST_FULL_SHARE_FRACTION, fullShareFraction)
                && newTrials >= MIN_NEW_VERSION_ANSWERS) {
            return FULL_SHARE_PER_MILLE;
        }
        long share = Math.round(FULL_SHARE_PER_MILLE * SECOND_SHARE_EXPOSURE_FRACTION * allowed / requests);
        return (int) Math.max(FIRST_SHARE_PER_MILLE, Math.min(MAX_SECOND_SHARE_PER_MILLE, share));
    }

    /** Returns whether the outcome must be decided now, without more evidence. */
    public static boolean isDecisionDue(double elapsedFraction) {
        return elapsedFraction >= DECISION_FRACTION;
    }

    /** Returns whether the new version has all traffic and the time for the completion has come. */
    public boolean isComplete(double elapsedFraction, int sharePerMille) {
        return sharePerMille == FULL_SHARE_PER_MILLE && isCompletionDue(elapsedFraction);
    }

    /** Returns whether the time for the completion has come. */
    public static boolean isCompletionDue(double elapsedFraction) {
        return elapsedFraction >= COMPLETION_FRACTION;
    }
}
