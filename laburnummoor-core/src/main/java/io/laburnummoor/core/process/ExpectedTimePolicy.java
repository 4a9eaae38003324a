package io.laburnummoor.core.process;

import java.util.function.ToDoubleFunction;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.version.ForwardService;

/**
 * Rates upstreams by the expected time to the first event. Answers upstreams that differ in speed, also for fractions
 * of a second.
 *
 * <p>Many routers see the same fastest upstream, so it is chosen only with a probability: upstreams whose expected time
 * is higher by less than the tolerance share the requests. The tolerance is the time that a wrong choice may cost, an
 * eighth of the goal, but at most half of the expected time itself. After a loss, many routers select at the same
 * moment, and each may find one more prompt ahead than it knows of; the tolerance is then the time of one prompt.
 *
 * <p>Long prompts are placed together: an engine that prefills one is preferred by the next one, as long as its first
 * event is expected within half of its goal. Answers a mix of long and short prompts, of which the short ones wait
 * behind long ones on all engines if these are spread. The engines are those that prefill a long prompt at the moment,
 * so they are released by the end of the prefill.
 */
final class ExpectedTimePolicy implements PlacementPolicy {
    private static final double GOAL_FRACTION = 0.125;
    /** Part of the goal up to which a long prompt may wait for others; the rest is for a retry on another engine. */
    private static final double GROUPED_GOAL_FRACTION = 0.5;

    private static final double MIN_TOLERANCE = 0.1;
    private static final double MAX_TOLERANCE = 0.5;
    /** Tolerance of a request whose goal is not known. */
    private static final double USUAL_TOLERANCE = 0.25;
    /** One request on an upstream without a known number of slots, in the unit of the cost. */
    private static final int USUAL_SLOTS = 6;

    private final ExpectedTime expectedTime;

    ExpectedTimePolicy(ExpectedTime expectedTime) {
        this.expectedTime = expectedTime;
    }

    @Override
    public ToDoubleFunction<InstanceState> costs(InstanceSelector.Criteria criteria, long nowMillis) {
        RequestWork work = criteria.work();
        ForwardService service = criteria.service();
        WorkTimes.Averages averages = expectedTime.averagesOf(service.name());
        double unitMillis = unitMillis(service, averages);
        double limitMillis = GROUPED_GOAL_FRACTION * work.goalMillis() - work.elapsedMillis();
        // After a loss, other routers select at the same moment and would choose the same few engines.
        boolean mayGroup = service.isEngine() && !criteria.afterLoss() && averages.isLongPrompt(work.promptTokens());
        return upstream -> {
            long cached = criteria.prompt().isEmpty() ? 0 : upstream.cachedPrefixTokens(criteria.prompt(), nowMillis);
            long tokensToPrefill = Math.max(0, work.promptTokens() - cached);
            double firstEventMillis = expectedTime
                    .of(upstream, service, work, tokensToPrefill, averages, nowMillis)
                    .firstEventMillis();
            boolean grouped = mayGroup && firstEventMillis <= limitMillis && takesFurtherLongPrompt(upstream);
            return (grouped ? firstEventMillis - limitMillis : firstEventMillis) / unitMillis;
        };
    }

    /**
     * Returns whether an engine is prefilling a long prompt and may take another one. An engine of unknown speed takes
     * no second one: at 0.6 times the usual speed, two of them missed the goal that each had met alone.
     */
    private boolean takesFurtherLongPrompt(InstanceState upstream) {
        return expectedTime.prefillsLongPrompt(upstream) && upstream.pace().isMeasured();
    }

    @Override
    public double spread(InstanceState upstream, InstanceSelector.Criteria criteria) {
        return 0;
    }

    /** Waiting for KV cache is part of the expected time. */
    @Override
    public double fullCost() {
        return 0;
    }

    /** Cached prompt parts shorten the expected time. */
    @Override
    public double cachedPrefixValue(InstanceState upstream, InstanceSelector.Criteria criteria, long nowMillis) {
        return 0;
    }

    @Override
    public double tolerance(double bestCost, InstanceSelector.Criteria criteria) {
        RequestWork work = criteria.work();
        WorkTimes.Averages averages = expectedTime.averagesOf(criteria.service().name());
        double unitMillis = unitMillis(criteria.service(), averages);
        double best = Math.abs(bestCost);
        double tolerance = work.goalMillis() == 0
                ? USUAL_TOLERANCE * best
                : Math.max(
                        MIN_TOLERANCE * best,
                        Math.min(MAX_TOLERANCE * best, GOAL_FRACTION * work.goalMillis() / unitMillis));
        if (criteria.afterLoss() && criteria.service().isEngine()) {
            double prompt = averages.prefillMillis(work.promptTokens()) / unitMillis;
            return Math.max(tolerance, prompt);
        }
        return tolerance;
    }

    /** Returns the time that counts as one running request beside failures and failure domains. */
    private static double unitMillis(ForwardService service, WorkTimes.Averages averages) {
        return service.isEngine()
                ? averages.prefillMillis((long) RequestCountPolicy.PREFILL_TOKENS_PER_REQUEST)
                : averages.callMillis() / USUAL_SLOTS;
    }
}
