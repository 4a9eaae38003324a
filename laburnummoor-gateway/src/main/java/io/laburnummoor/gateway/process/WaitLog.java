package io.laburnummoor.gateway.process;

import io.laburnummoor.core.process.ServiceLoad;
import io.laburnummoor.core.process.WaitPolicy;
import io.laburnummoor.core.request.WaitRefusal;

/** Writes the log lines and updates the metrics of the decisions about requests that wait for a place. */
final class WaitLog {
    private final DecisionLog log;
    private final GatewayMetrics metrics;

    WaitLog(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Writes the decision on a request that found no room. */
    void decided(WaitTicket.Facts facts, Inputs inputs, WaitPolicy.Decision decision) {
        log.line("wait_decided")
                .text("request", facts.requestId())
                .text("service", facts.service().name())
                .number("urgency", facts.urgency().level())
                .number("tokens", facts.tokens())
                .number("usable_upstreams", inputs.load.usableCount())
                .number("running", inputs.load.runningCount())
                .number("free_slots", inputs.load.freeSlots())
                .number("load_age_ms", inputs.load.reportAgeMillis())
                .number("waiting", inputs.waitingCount)
                .number("ahead", inputs.aheadCount)
                .number("expected_ms", inputs.startInMillis)
                .number("run_ms", inputs.runMillis)
                .number("remaining_ms", facts.deadlineMillis() - inputs.nowMillis)
                .text("outcome", outcomeOf(decision))
                .number("max_wait_ms", decision.maxWaitMillis())
                .write();
    }

    private static String outcomeOf(WaitPolicy.Decision decision) {
        if (decision.isRefused()) {
            return WaitOutcome.REFUSED.label();
        }
        return decision.maxWaitMillis() == 0 ? WaitOutcome.SENT_UNPLACED.label() : "waits";
    }

    /** Writes the end of a wait. */
    void ended(WaitTicket.Facts facts, WaitOutcome outcome, long waitedMillis) {
        metrics.waitEnded(outcome, waitedMillis);
        log.line("wait_ended")
                .text("request", facts.requestId())
                .text("outcome", outcome.label())
                .number("waited_ms", waitedMillis)
                .write();
    }

    /** Writes a refusal. */
    void refused(WaitTicket.Facts facts, WaitRefusal refusal, long retryAfterMillis) {
        metrics.waitRefused(refusal);
        log.line("request_refused")
                .text("request", facts.requestId())
                .text("reason", refusal.name())
                .number("retry_after_ms", retryAfterMillis)
                .write();
    }

    void fault(Throwable fault) {
        log.line("admission_fault").text("error", fault.toString()).write();
    }

    /**
     * Inputs to a decision.
     *
     * @param load load of the service
     * @param waitingCount requests of the service that wait
     * @param aheadCount those of them that are served before
     * @param startInMillis predicted time until the start, or -1 if too few requests have ended
     * @param runMillis mean time that requests of the service run
     * @param nowMillis time of the decision
     */
    record Inputs(
            ServiceLoad load, int waitingCount, int aheadCount, long startInMillis, long runMillis, long nowMillis) {}
}
