package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.InstanceState;

/**
 * Ended incarnations of upstreams that this router has detected and reports to the others. While the store is
 * unavailable, crashed upstreams stay listed; without these reports, a request of every router would have to be
 * rejected by each of them. Any thread records an end; the gateway's load exchange sends and applies reports.
 */
public final class EndedIncarnationTable {
    /** Time for which an ended incarnation is reported; most routers receive the first report. */
    static final long REPORT_MILLIS = 4_000;
    /** Limits the message size when a whole failure domain restarts. */
    static final int MAX_REPORTED = 16;

    private final Snapshot<List<Observation>> observations = new Snapshot<>(List.of());

    /** Records that another incarnation at the same address has rejected a request of this router. */
    public void record(EndedIncarnation incarnation, long nowMillis) {
        observations.update(before -> {
            List<Observation> changed = new ArrayList<>();
            before.stream()
                    .filter(each -> each.isRecent(nowMillis) && !each.incarnation.equals(incarnation))
                    .forEach(changed::add);
            changed.add(new Observation(incarnation, nowMillis));
            return List.copyOf(changed.subList(Math.max(0, changed.size() - MAX_REPORTED), changed.size()));
        });
    }

    /** Returns the ended incarnations to report now. */
    public List<EndedIncarnation> recent(long nowMillis) {
        return observations.get().stream()
                .filter(each -> each.isRecent(nowMillis))
                .map(Observation::incarnation)
                .toList();
    }

    /** Marks the upstreams whose end another router reported as ended; returns those that were in use until now. */
    public List<InstanceState> applyReported(List<EndedIncarnation> reported, InstanceTable table, long nowMillis) {
        if (reported.isEmpty()) {
            return List.of();
        }
        List<InstanceState> ended = table.all().stream()
                .filter(each -> each.isInService(nowMillis) && reported.contains(EndedIncarnation.of(each.instance())))
                .toList();
        ended.forEach(each -> each.markEnded(nowMillis));
        return ended;
    }

    private record Observation(EndedIncarnation incarnation, long atMillis) {
        boolean isRecent(long nowMillis) {
            return nowMillis - atMillis < REPORT_MILLIS;
        }
    }
}
