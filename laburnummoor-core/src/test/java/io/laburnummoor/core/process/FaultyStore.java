package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.StoreVersion;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory key-value store whose writes can be lost, be applied without a reply, or be applied late, and which can
 * be restored from an older copy of itself.
 */
final class FaultyStore implements KeyValueStore {
    enum WriteFault {
        /** The write takes effect, but its caller gets an exception. */
        REPLY_LOST,
        /** The write does not take effect. */
        WRITE_LOST,
        /** The write takes effect only in {@link FaultyStore#applyDelayedWrite}. */
        WRITE_DELAYED
    }

    private final Map<String, VersionedValue> values = new HashMap<>();
    private final Deque<WriteFault> faults = new ArrayDeque<>();
    private final Deque<Runnable> delayedWrites = new ArrayDeque<>();
    private final Set<String> leasedKeys = new HashSet<>();
    private long revision;
    private long lastLeaseId;
    private long lastExpiredLeaseId;
    private long era;
    private boolean unavailable;
    private @Nullable Runnable beforeNextWrite;

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Expires all leases and removes their keys. */
    void expireLeases() {
        lastExpiredLeaseId = lastLeaseId;
        leasedKeys.forEach(values::remove);
        leasedKeys.clear();
    }

    /** Returns a copy to restore the store from. */
    Copy copy() {
        return new Copy(Map.copyOf(values), Set.copyOf(leasedKeys), revision, lastLeaseId, lastExpiredLeaseId);
    }

    /** Restores an older copy; revisions and lease ids that were issued since are issued again. */
    void restore(Copy copy) {
        era++;
        values.clear();
        copy.values.forEach((key, stored) -> values.put(
                key, new VersionedValue(stored.value(), versionOf(StoreVersion.revisionOf(stored.version())))));
        leasedKeys.clear();
        leasedKeys.addAll(copy.leasedKeys);
        revision = copy.revision;
        lastLeaseId = copy.lastLeaseId;
        lastExpiredLeaseId = copy.lastExpiredLeaseId;
    }

    private long versionOf(long issued) {
        return StoreVersion.of(era, issued);
    }

    @Override
    public long era() {
        return era;
    }

    /** Returns a number that increases with each write. */
    long revision() {
        return revision;
    }

    void addFault(WriteFault fault) {
        faults.add(fault);
    }

    /** Runs an action between a holder's read and its next write, as if the holder were paused there. */
    void runBeforeNextWrite(Runnable meanwhile) {
        beforeNextWrite = meanwhile;
    }

    void applyDelayedWrite() {
        Runnable write = delayedWrites.poll();
        if (write != null) {
            write.run();
        }
    }

    @Override
    public @Nullable VersionedValue get(String key) {
        throwIfUnavailable();
        return values.get(key);
    }

    @Override
    public long compareAndSwap(String key, long expectedVersion, String value, long leaseId) {
        Runnable meanwhile = beforeNextWrite;
        beforeNextWrite = null;
        if (meanwhile != null) {
            meanwhile.run();
        }
        throwIfUnavailable();
        WriteFault fault = faults.poll();
        if (fault == WriteFault.WRITE_DELAYED) {
            delayedWrites.add(() -> write(key, expectedVersion, value, leaseId));
        }
        if (fault == WriteFault.WRITE_DELAYED || fault == WriteFault.WRITE_LOST) {
            throw storeUnavailable();
        }
        long version = write(key, expectedVersion, value, leaseId);
        if (fault == WriteFault.REPLY_LOST) {
            throw storeUnavailable();
        }
        return version;
    }

    @Override
    public boolean delete(String key, long expectedVersion) {
        throwIfUnavailable();
        VersionedValue stored = values.get(key);
        return stored != null && stored.version() == expectedVersion && values.remove(key) != null;
    }

    @Override
    public long grantLease(long timeToLiveSeconds) {
        return ++lastLeaseId;
    }

    @Override
    public boolean keepLeaseAlive(long leaseId) {
        return leaseId > lastExpiredLeaseId && leaseId <= lastLeaseId;
    }

    @Override
    public @Nullable VersionedValue watch(String key, long knownVersion, long timeoutMillis) {
        return get(key);
    }

    private long write(String key, long expectedVersion, String value, long leaseId) {
        VersionedValue stored = values.get(key);
        if ((stored == null ? ABSENT : stored.version()) != expectedVersion) {
            return ABSENT;
        }
        long version = versionOf(++revision);
        values.put(key, new VersionedValue(value, version));
        if (leaseId == NO_LEASE) {
            leasedKeys.remove(key);
        } else {
            leasedKeys.add(key);
        }
        return version;
    }

    private void throwIfUnavailable() {
        if (unavailable) {
            throw storeUnavailable();
        }
    }

    private static LaburnummoorException storeUnavailable() {
        return new LaburnummoorException(ErrorCode.STORE_UNAVAILABLE, "injected store failure");
    }

    /** An earlier state of the store. */
    record Copy(
            Map<String, VersionedValue> values,
            Set<String> leasedKeys,
            long revision,
            long lastLeaseId,
            long lastExpiredLeaseId) {}
}
