package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.request.ClaimRecord;

/**
 * A segment of a partition's claim log, stored as one value. Immutable.
 *
 * @param sealed whether the segment is closed for further records; only then may the next segment exist
 * @param dropDeadlineMillis wall-clock time from which the segment contains only expired keys
 * @param operationIds ids of the writes that produced this segment, by which a writer recognises its own write
 * @param records claim state transitions in commit order
 */
public record ClaimSegment(
        boolean sealed, long dropDeadlineMillis, List<String> operationIds, List<ClaimRecord> records) {
    /** A segment that does not exist yet. */
    public static final ClaimSegment EMPTY = new ClaimSegment(false, 0, List.of(), List.of());

    /** Returns this segment with the records of one more write. */
    ClaimSegment append(String operationId, List<ClaimRecord> added, long newDropDeadlineMillis) {
        List<String> allIds = new ArrayList<>(operationIds);
        allIds.add(operationId);
        List<ClaimRecord> allRecords = new ArrayList<>(records);
        allRecords.addAll(added);
        return new ClaimSegment(
                false,
                Math.max(dropDeadlineMillis, newDropDeadlineMillis),
                List.copyOf(allIds),
                List.copyOf(allRecords));
    }

    /** Returns this segment closed for further records. */
    ClaimSegment seal() {
        return new ClaimSegment(true, dropDeadlineMillis, operationIds, records);
    }
}
