package io.laburnummoor.gateway.request;

import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.ReportedLoad;
import io.laburnummoor.gateway.process.DecisionLog;

/** Records what an upstream says about itself in the head of a response. */
final class UpstreamNotices {
    /** Upstreams may send a malformed load with each response. */
    private static final long MALFORMED_LOAD_LOG_INTERVAL_MILLIS = 60_000;

    private static final AtomicLong MALFORMED_LOAD_LOGGED_AT_MILLIS = new AtomicLong(Long.MIN_VALUE / 2);

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
        if (head.malformedLoad() && isMalformedLoadLogDue(nowMillis)) {
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

    private static boolean isMalformedLoadLogDue(long nowMillis) {
        long last = MALFORMED_LOAD_LOGGED_AT_MILLIS.get();
        return nowMillis - last >= MALFORMED_LOAD_LOG_INTERVAL_MILLIS
                && MALFORMED_LOAD_LOGGED_AT_MILLIS.compareAndSet(last, nowMillis);
    }
}
