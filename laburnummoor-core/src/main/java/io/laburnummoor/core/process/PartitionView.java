package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.RequestId;
import org.jspecify.annotations.Nullable;

/** One holder's view of a partition: the last record of each key and the open segment. Used by one thread at a time. */
final class PartitionView {
    private final Map<RequestId, ClaimRecord> lastRecords = new HashMap<>();
    private final Deque<SealedSegment> sealedSegments = new ArrayDeque<>();
    private final long headVersion;
    private long verifiedAtMillis;
    private long openNumber;
    private long openVersion = KeyValueStore.ABSENT;
    private ClaimSegment open = ClaimSegment.EMPTY;

    private PartitionView(long headVersion, long firstNumber, long verifiedAtMillis) {
        this.headVersion = headVersion;
        this.openNumber = firstNumber;
        this.verifiedAtMillis = verifiedAtMillis;
    }

    /** Loads a partition from its first to its open segment; null if the first segment changed meanwhile. */
    static @Nullable PartitionView load(KeyValueStore store, SegmentCodec codec, int partition, long nowMillis) {
        VersionedValue head = store.get(headKey(partition));
        PartitionView view = new PartitionView(
                head == null ? KeyValueStore.ABSENT : head.version(),
                head == null ? 1 : Long.parseLong(head.value()),
                nowMillis);
        VersionedValue stored = store.get(segmentKey(partition, view.openNumber));
        while (stored != null) {
            ClaimSegment segment = codec.decode(stored.value());
            segment.records().forEach(record -> view.lastRecords.put(record.id(), record));
            view.addSegment(segment, stored.version());
            if (!segment.sealed()) {
                return view;
            }
            stored = store.get(segmentKey(partition, view.openNumber));
        }
        // A missing segment is the end of the log only if no segment was dropped during the load.
        VersionedValue headAgain = store.get(headKey(partition));
        long versionAgain = headAgain == null ? KeyValueStore.ABSENT : headAgain.version();
        return versionAgain == view.headVersion ? view : null;
    }

    static String headKey(int partition) {
        return "claims/" + partition + "/head";
    }

    static String segmentKey(int partition, long number) {
        return "claims/" + partition + "/" + number;
    }

    private void addSegment(ClaimSegment segment, long version) {
        if (segment.sealed()) {
            sealedSegments.add(new SealedSegment(openNumber, version, segment.dropDeadlineMillis()));
            openNumber++;
            open = ClaimSegment.EMPTY;
            openVersion = KeyValueStore.ABSENT;
        } else {
            open = segment;
            openVersion = version;
        }
    }

    /** Applies a segment that this holder has written. */
    void applyWrite(
            ClaimSegment written, long version, Map<RequestId, ClaimRecord> changed, long writeStartedAtMillis) {
        lastRecords.putAll(changed);
        addSegment(written, version);
        verifiedAtMillis = writeStartedAtMillis;
    }

    /** Records the time at which the open segment was found unchanged. */
    void markVerified(long nowMillis) {
        verifiedAtMillis = nowMillis;
    }

    @Nullable
    ClaimRecord lastRecord(RequestId id) {
        return lastRecords.get(id);
    }

    ClaimSegment open() {
        return open;
    }

    long openNumber() {
        return openNumber;
    }

    long openVersion() {
        return openVersion;
    }

    long headVersion() {
        return headVersion;
    }

    long verifiedAtMillis() {
        return verifiedAtMillis;
    }

    @Nullable
    SealedSegment oldestSealed() {
        return sealedSegments.peekFirst();
    }

    /**
     * A segment that is closed for further records.
     *
     * @param number number in the partition
     * @param version version of the stored value
     * @param dropDeadlineMillis wall-clock time from which it may be deleted
     */
    record SealedSegment(long number, long version, long dropDeadlineMillis) {}
}
