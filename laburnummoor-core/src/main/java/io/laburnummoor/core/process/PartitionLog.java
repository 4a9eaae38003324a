package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.ClaimStateMachine;
import io.laburnummoor.core.request.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * The claim log of one partition as written by one holder. A router's partition committer calls it on one thread at a
 * time.
 *
 * <p>Any number of holders may write to one partition. Every write is a compare-and-swap on the open segment, or the
 * creation of the next segment after a sealed one, so a holder whose view is stale cannot write.
 */
public final class PartitionLog {
    private static final int MAX_RACE_ATTEMPTS = 8;
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final int partition;
    private final KeyValueStore store;
    private final SegmentCodec codec;
    private final ClaimPolicy policy;
    private final Clock wallClock;
    private final Supplier<String> operationIds;
    private @Nullable PartitionView view;
    private @Nullable PartitionView lastView;
    private boolean raceLost;

    /**
     * Creates a log.
     *
     * @param operationIds source of a unique id for each write
     */
    public PartitionLog(
            int partition,
            KeyValueStore store,
            SegmentCodec codec,
            ClaimPolicy policy,
            Clock wallClock,
            Supplier<String> operationIds) {
        this.partition = partition;
        this.store = store;
        this.codec = codec;
        this.policy = policy;
        this.wallClock = wallClock;
        this.operationIds = operationIds;
    }

    /**
     * Commits commands with one write and returns their outcomes in order. Commands whose effect is unknown get an
     * {@linkplain ClaimOutcome#isUnavailable() unavailable} outcome; their claimants retry or release them.
     *
     * @param soleWriter whether no other holder can have written since the last commit or read
     */
    public List<ClaimOutcome> commit(List<ClaimRecord> commands, boolean soleWriter) {
        raceLost = false;
        try {
            for (int race = 0; race < MAX_RACE_ATTEMPTS; race++) {
                PartitionView current = currentView();
                Batch batch = decide(current, commands);
                if (batch.appended.isEmpty()) {
                    if (!batch.needsVerification || verify(current)) {
                        return batch.outcomes;
                    }
                    continue;
                }
                WriteResult result = write(current, batch);
                if (result == WriteResult.WRITTEN) {
                    return batch.outcomes;
                }
                view = null;
                if (result == WriteResult.UNKNOWN) {
                    break;
                }
                raceLost = true;
            }
        } catch (LaburnummoorException unavailable) {
            view = null;
            if (unavailable.errorCode() != ErrorCode.STORE_UNAVAILABLE) {
                throw unavailable;
            }
        }
        return answerFromLastView(commands, soleWriter && !raceLost);
    }

    /** Returns whether the last commit lost a race against another holder, so that this one should check its lease. */
    public boolean isRaceLost() {
        return raceLost;
    }

    /**
     * Answers commands from the last view while the store is unavailable. Results are final and a claim can only end,
     * so an old view never makes a used key look new; a key that the view does not contain is known to be new only if
     * no other holder can have written.
     */
    public List<ClaimOutcome> answerFromLastView(List<ClaimRecord> commands, boolean soleWriter) {
        PartitionView known = lastView;
        return commands.stream()
                .map(command -> answerFromView(known, command, soleWriter))
                .toList();
    }

    private static ClaimOutcome answerFromView(@Nullable PartitionView known, ClaimRecord command, boolean soleWriter) {
        if (known == null || command.state() != ClaimState.CLAIMED) {
            return ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE);
        }
        ClaimStateMachine.Decision decision = ClaimStateMachine.decide(known.lastRecord(command.id()), command);
        return switch (decision.outcome().kind()) {
            case ALREADY_CLAIMED, ALREADY_DONE, KEY_REUSED -> decision.outcome();
            default -> ClaimOutcome.of(
                    soleWriter ? ClaimOutcome.Kind.UNAVAILABLE_FIRST_USE : ClaimOutcome.Kind.UNAVAILABLE);
        };
    }

    /** Drops the oldest segment if all its keys have expired; returns whether it did. */
    public boolean dropOldestSegment() {
        PartitionView current = currentView();
        PartitionView.SealedSegment oldest = current.oldestSealed();
        if (oldest == null || wallClock.nowMillis() < oldest.dropDeadlineMillis()) {
            return false;
        }
        view = null;
        // The head is advanced first, so that a reader that misses the segment sees that the head has changed.
        long moved = store.compareAndSwap(
                PartitionView.headKey(partition), current.headVersion(), Long.toString(oldest.number() + 1));
        return moved != KeyValueStore.ABSENT
                && store.delete(PartitionView.segmentKey(partition, oldest.number()), oldest.version());
    }

    private PartitionView currentView() {
        long nowMillis = wallClock.nowMillis();
        PartitionView known = view;
        if (known != null && nowMillis - known.verifiedAtMillis() < ClaimPolicy.VIEW_MAX_AGE_MILLIS) {
            return known;
        }
        for (int i = 0; i < MAX_RACE_ATTEMPTS; i++) {
            PartitionView loaded = PartitionView.load(store, codec, partition, wallClock.nowMillis());
            if (loaded != null) {
                view = loaded;
                lastView = loaded;
                return loaded;
            }
        }
        throw new LaburnummoorException(
                ErrorCode.STORE_UNAVAILABLE, "partition " + partition + " changed during each attempt to read it");
    }

    private Batch decide(PartitionView current, List<ClaimRecord> commands) {
        Batch batch = new Batch();
        long nowMillis = wallClock.nowMillis();
        for (ClaimRecord command : commands) {
            ClaimRecord last = batch.changed.containsKey(command.id())
                    ? batch.changed.get(command.id())
                    : current.lastRecord(command.id());
            ClaimStateMachine.Decision decision = ClaimStateMachine.decide(last, command);
            if (decision.append() && command.state() == ClaimState.CLAIMED && command.deadlineMillis() <= nowMillis) {
                batch.outcomes.add(ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE_FIRST_USE));
                batch.needsVerification = true;
                continue;
            }
            batch.outcomes.add(decision.outcome());
            batch.needsVerification |= !decision.append()
                    && decision.outcome().kind() != ClaimOutcome.Kind.ALREADY_DONE
                    && decision.outcome().kind() != ClaimOutcome.Kind.GRANTED;
            if (decision.append()) {
                batch.appended.add(command);
                batch.changed.put(command.id(), command);
            }
        }
        return batch;
    }

    /**
     * Checks with one read that the view is current. A write includes this check; without either, a former holder would
     * reject the result of a claim that was made through its successor.
     */
    private boolean verify(PartitionView current) {
        long startedAtMillis = wallClock.nowMillis();
        VersionedValue stored = store.get(PartitionView.segmentKey(partition, current.openNumber()));
        long version = stored == null ? KeyValueStore.ABSENT : stored.version();
        if (version == current.openVersion()) {
            current.markVerified(startedAtMillis);
            return true;
        }
        view = null;
        return false;
    }

    private WriteResult write(PartitionView current, Batch batch) {
        long startedAtMillis = wallClock.nowMillis();
        String operationId = operationIds.get();
        ClaimSegment next =
                current.open().append(operationId, batch.appended, policy.dropDeadlineMillis(startedAtMillis));
        String text = codec.encode(next);
        if (text.length() >= policy.sealThresholdBytes()) {
            next = next.seal();
            text = codec.encode(next);
        }
        String key = PartitionView.segmentKey(partition, current.openNumber());
        for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
            try {
                // The write may be repeated, because at most one of its copies finds the expected version.
                long version = store.compareAndSwap(key, current.openVersion(), text);
                if (version != KeyValueStore.ABSENT) {
                    current.applyWrite(next, version, batch.changed, startedAtMillis);
                    return WriteResult.WRITTEN;
                }
                return resolveVersionMismatch(key, operationId);
            } catch (LaburnummoorException unavailable) {
                if (unavailable.errorCode() != ErrorCode.STORE_UNAVAILABLE) {
                    throw unavailable;
                }
            }
        }
        return WriteResult.UNKNOWN;
    }

    /** Determines whether a write whose expected version did not match had taken effect before its reply was lost. */
    private WriteResult resolveVersionMismatch(String key, String operationId) {
        VersionedValue stored = store.get(key);
        if (stored == null) {
            return WriteResult.UNKNOWN;
        }
        if (!codec.decode(stored.value()).operationIds().contains(operationId)) {
            return WriteResult.LOST_RACE;
        }
        // Other holders may have written since, so the view is reloaded.
        view = null;
        lastView = null;
        return WriteResult.WRITTEN;
    }

    private enum WriteResult {
        WRITTEN,
        LOST_RACE,
        UNKNOWN
    }

    private static final class Batch {
        private final List<ClaimOutcome> outcomes = new ArrayList<>();
        private final List<ClaimRecord> appended = new ArrayList<>();
        private final Map<RequestId, ClaimRecord> changed = new HashMap<>();
        private boolean needsVerification;
    }
}
