package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.request.ClaimRecord;

/**
 * A part of a partition's log of claims; one value in the key-value service. Immutable.
 *
 * @param sealed whether no record may be added; only then may the next segment exist
 * @param dropDeadlineMillis wall-clock time from which the segment holds only expired keys
 * @param operationIds ids of the writes that made this segment, by which a writer recognises its own write
 * @param records transitions in the order of their commit
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
