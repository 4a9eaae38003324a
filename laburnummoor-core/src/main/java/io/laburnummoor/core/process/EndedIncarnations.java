package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.InstanceState;

/**
 * Ends of upstreams' lives that one router has seen and tells the others. While the store is out of reach, crashed
 * upstreams stay listed; without this each router would have to be rejected by each of them.
 */
public final class EndedIncarnations {
    /** Time for which an end is told; most of the others hear it at once. */
    static final long REPORT_MILLIS = 4_000;
    /** Keeps the messages small when a whole failure domain restarts. */
    static final int MAX_REPORTED = 16;

    private final Snapshot<List<Observation>> observations = new Snapshot<>(List.of());

    /** Records that this router was rejected by another life at the address. */
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

    /** Returns the ends to tell now. */
    public List<EndedIncarnation> recent(long nowMillis) {
        return observations.get().stream()
                .filter(each -> each.isRecent(nowMillis))
                .map(Observation::incarnation)
                .toList();
    }

    /** Takes what another router has seen; returns the upstreams that get no more work because of it. */
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
