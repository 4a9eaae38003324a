package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.core.process.LogInterval;
import io.laburnummoor.gateway.process.DecisionLog;

/** Records what an upstream says about itself in the head of a response. */
final class UpstreamNotices {
    /** Upstreams may send a malformed load with each response. */
    private static final long MALFORMED_LOAD_LOG_INTERVAL_MILLIS = 60_000;

    private static final LogInterval MALFORMED_LOAD_LOG = new LogInterval(MALFORMED_LOAD_LOG_INTERVAL_MILLIS);

    private UpstreamNotices() {}

    /** Records the notices of a response from the upstream; one of another incarnation says nothing about it. */
    static void record(UpstreamResponseHead head, InstanceState upstream, long nowMillis, DecisionLog log) {
        if (head.wrongIncarnation()) {
            return;
        }
        ReportedLoad load = head.load();
        if (load != null) {
            upstream.recordReportedLoad(load, nowMillis);
        }
        if (head.malformedLoad() && MALFORMED_LOAD_LOG.record(nowMillis) > 0) {
            log.line("load_not_read").text("upstream", upstream.instance().id()).write();
        }
        if (head.holdOffMillis() > 0) {
            upstream.holdOffUntil(nowMillis + head.holdOffMillis());
            log.line("upstream_held_off")
                    .text("upstream", upstream.instance().id())
                    .number("hold_off_ms", head.holdOffMillis())
                    .write();
        }
        if (head.leaving() && upstream.recordLeaving()) {
            log.line("upstream_leaving")
                    .text("upstream", upstream.instance().id())
                    .text("reason", "answer")
                    .write();
        }
    }
}
