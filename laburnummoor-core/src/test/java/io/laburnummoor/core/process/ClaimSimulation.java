package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.FaultyStore.WriteFault;
import io.laburnummoor.core.request.CallEffects;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.NonIdempotentCall;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.core.request.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * Simulates two holders of one partition, several claimants and a faulty store, driven by steps. The oracle counts the
 * executions of each key and throws when a guarantee is violated.
 */
final class ClaimSimulation {
    enum Action {
        /** A claimant sends the claim of a new call to a holder. */
        CALL,
        COMMIT,
        COMMIT_AGAIN,
        /** The claimants of a holder's next commit get no outcome. */
        LOSE_REPLY,
        RESEND,
        RUN_AND_ANSWER,
        RUN_AND_LOSE,
        LOSE_WITHOUT_RUN,
        REFUSE,
        CRASH_CLAIMANT,
        RESTART_HOLDER,
        /** The other holder commits between the read and the next write of a holder. */
        PAUSE_HOLDER,
        SEND_RECORDS,
        STORE_REPLY_LOST,
        STORE_WRITE_LOST,
        STORE_WRITE_DELAYED,
        APPLY_DELAYED_WRITE,
        STORE_UNAVAILABLE,
        STORE_AVAILABLE,
        ADVANCE_WITHIN_CLAIM_TIMEOUT,
        ADVANCE_PAST_VIEW_MAX_AGE,
        ADVANCE_BY_RETENTION,
        DROP_OLDEST
    }

    /** An action; its numbers select the holder, claimant, key or call that it applies to. */
    record Step(Action action, int first, int second) {}

    private static final int HOLDERS = 2;
    private static final int CLAIMANTS = 3;
    private static final int KEYS = 3;
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final long OLD_KEY_MILLIS = 10_000;
    private static final ClaimPolicy POLICY = new ClaimPolicy(RETENTION_MILLIS, 400);

    private final FaultyStore store = new FaultyStore();
    private final SegmentCodec codec = new MemorySegmentCodec();
    private final PartitionLog[] holders = new PartitionLog[HOLDERS];
    private final List<List<SentCommand>> inboxes = List.of(new ArrayList<>(), new ArrayList<>());
    private final List<Call> calls = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, RecordedResult> results = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final long[] keyIssuedAtMillis = new long[KEYS];
    private long nowMillis = 1_000_000;
    private int nextId;
    private int lastWriter = -1;

    ClaimSimulation() {
        for (int i = 0; i < HOLDERS; i++) {
            holders[i] = newHolder();
        }
        java.util.Arrays.fill(keyIssuedAtMillis, nowMillis);
    }

    void apply(Step step) {
        int holder = step.first % HOLDERS;
        switch (step.action) {
            case CALL -> call(step.first % CLAIMANTS, step.second % KEYS, step.second % HOLDERS);
            case COMMIT, COMMIT_AGAIN -> commit(holder);
            case LOSE_REPLY -> inboxes.get(holder).forEach(sent -> sent.replyLost = true);
            case RESEND -> withOneCall(
                    step.second, Phase.CLAIMING, call -> send(holder, call.claim, call::onClaimOutcome));
            case RUN_AND_ANSWER -> withOneCall(step.second, Phase.DISPATCHED, call -> call.onRun(true));
            case RUN_AND_LOSE -> withOneCall(step.second, Phase.DISPATCHED, call -> call.onRun(false));
            case LOSE_WITHOUT_RUN -> withOneCall(step.second, Phase.DISPATCHED, Call::onLost);
            case REFUSE -> withOneCall(step.second, Phase.DISPATCHED, Call::onRefused);
            case CRASH_CLAIMANT -> calls.removeIf(call -> call.claimant == step.first % CLAIMANTS);
            case RESTART_HOLDER -> {
                lastWriter = -1;
                holders[holder] = newHolder();
            }
            case PAUSE_HOLDER -> store.runBeforeNextWrite(() -> commit(1 - holder));
            case SEND_RECORDS -> calls.forEach(call -> call.sendUnrecorded(holder));
            case STORE_REPLY_LOST -> store.addFault(WriteFault.REPLY_LOST);
            case STORE_WRITE_LOST -> store.addFault(WriteFault.WRITE_LOST);
            case STORE_WRITE_DELAYED -> store.addFault(WriteFault.WRITE_DELAYED);
            case APPLY_DELAYED_WRITE -> {
                lastWriter = -1;
                store.applyDelayedWrite();
            }
            case STORE_UNAVAILABLE -> store.setUnavailable(true);
            case STORE_AVAILABLE -> store.setUnavailable(false);
            case ADVANCE_WITHIN_CLAIM_TIMEOUT -> nowMillis += 2_000;
            case ADVANCE_PAST_VIEW_MAX_AGE -> nowMillis += ClaimPolicy.VIEW_MAX_AGE_MILLIS + 1;
            case ADVANCE_BY_RETENTION -> nowMillis += RETENTION_MILLIS;
            case DROP_OLDEST -> dropOldest(holder);
            default -> throw new AssertionError(step.action);
        }
    }

    private PartitionLog newHolder() {
        return new PartitionLog(0, store, codec, POLICY, () -> nowMillis, () -> "op-" + nextId++);
    }

    private void call(int claimant, int key, int holder) {
        if (keyIssuedAtMillis[key] + RETENTION_MILLIS <= nowMillis) {
            keyIssuedAtMillis[key] = nowMillis;
        }
        Call call = new Call(claimant, "key-" + key + "-" + keyIssuedAtMillis[key], keyIssuedAtMillis[key]);
        calls.add(call);
        send(holder, call.claim, call::onClaimOutcome);
    }

    private void send(int holder, ClaimRecord command, Consumer<ClaimOutcome> onOutcome) {
        inboxes.get(holder).add(new SentCommand(command, onOutcome));
    }

    private void commit(int holder) {
        List<SentCommand> batch = new ArrayList<>(inboxes.get(holder));
        inboxes.get(holder).clear();
        boolean soleWriter = lastWriter == holder;
        long revisionBefore = store.revision();
        List<ClaimOutcome> outcomes =
                holders[holder].commit(batch.stream().map(sent -> sent.command).toList(), soleWriter);
        if (store.revision() != revisionBefore) {
            lastWriter = holder;
        }
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i)
                    .onOutcome
                    .accept(batch.get(i).replyLost ? ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE) : outcomes.get(i));
        }
    }

    private void dropOldest(int holder) {
        try {
            holders[holder].dropOldestSegment();
        } catch (LaburnummoorException unavailable) {
            if (unavailable.errorCode() != ErrorCode.STORE_UNAVAILABLE) {
                throw unavailable;
            }
        }
    }

    private void withOneCall(int number, Phase phase, Consumer<Call> action) {
        List<Call> matching = calls.stream().filter(call -> call.phase == phase).toList();
        if (!matching.isEmpty()) {
            action.accept(matching.get(number % matching.size()));
        }
    }

    private enum Phase {
        CLAIMING,
        DISPATCHED,
        RELEASING,
        ENDED
    }

    private static final class SentCommand {
        private final ClaimRecord command;
        private final Consumer<ClaimOutcome> onOutcome;
        private boolean replyLost;

        SentCommand(ClaimRecord command, Consumer<ClaimOutcome> onOutcome) {
            this.command = command;
            this.onOutcome = onOutcome;
        }
    }

    private final class Call implements CallEffects {
        private final int claimant;
        private final int attempt;
        private final long issuedAtMillis;
        private final ClaimRecord claim;
        private final NonIdempotentCall decision;
        private @Nullable ClaimRecord unrecorded;
        private Phase phase = Phase.CLAIMING;

        Call(int claimant, String key, long issuedAtMillis) {
            this.claimant = claimant;
            this.issuedAtMillis = issuedAtMillis;
            this.claim = new ClaimRecord(
                    ClaimState.CLAIMED,
                    new RequestId("office", key),
                    "nonce-" + nextId++,
                    "router-" + claimant,
                    "digest",
                    nowMillis + ClaimPolicy.CLAIM_TIMEOUT_MILLIS,
                    null);
            this.attempt = attempts.merge(key, 1, Integer::sum);
            long ageMillis = attempt == 1 ? 0 : OLD_KEY_MILLIS;
            this.decision = new NonIdempotentCall(claim, ageMillis, this);
        }

        void onClaimOutcome(ClaimOutcome outcome) {
            if (calls.contains(this)) {
                decision.onClaimOutcome(outcome, nowMillis);
            }
        }

        void onRun(boolean answered) {
            RecordedResult result = new RecordedResult(200, "", "run-" + claim.nonce(), 0);
            if (runs.merge(claim.id().key(), 1, Integer::sum) > 1) {
                throw new AssertionError(claim.id() + " ran more than once");
            }
            results.put(claim.id().key(), result);
            if (answered) {
                decision.onResult(result);
            } else {
                onLost();
            }
            phase = Phase.ENDED;
        }

        void onLost() {
            decision.onOutcomeUnknown("lost");
        }

        void onRefused() {
            decision.onNotSent("refused");
        }

        void sendUnrecorded(int holder) {
            ClaimRecord command = unrecorded;
            if (command != null) {
                send(holder, command, outcome -> {
                    if (command.state() == ClaimState.RELEASED && calls.contains(this)) {
                        decision.onReleaseOutcome(outcome, "released", nowMillis);
                    }
                    if (!outcome.isUnavailable()) {
                        unrecorded = null;
                    }
                    // After the retention the segment with the claim may have been dropped.
                    boolean remembered = nowMillis < issuedAtMillis + RETENTION_MILLIS;
                    if (remembered
                            && command.state() == ClaimState.DONE
                            && outcome.kind() == ClaimOutcome.Kind.REJECTED) {
                        throw new AssertionError("result of " + command.id() + " was rejected");
                    }
                });
            }
        }

        @Override
        public void claim(ClaimRecord requested) {}

        @Override
        public void dispatch() {
            phase = Phase.DISPATCHED;
        }

        @Override
        public void release(ClaimRecord released, String reason) {
            unrecorded = released;
            phase = Phase.RELEASING;
        }

        @Override
        public void record(ClaimRecord done) {
            unrecorded = done;
        }

        @Override
        public void forwardResponse() {}

        @Override
        public void replayResult(RecordedResult result) {
            phase = Phase.ENDED;
            if (!result.equals(results.get(claim.id().key()))) {
                throw new AssertionError("wrong result for " + claim.id() + ": " + result);
            }
        }

        @Override
        public void fail(ErrorCode code, String detail) {
            phase = Phase.ENDED;
            // Of two attempts the caller waits only for the later one, so the answer to the earlier one does not count.
            boolean callerWaits = attempts.getOrDefault(claim.id().key(), 0) == attempt;
            if (code == ErrorCode.NOT_RUN
                    && callerWaits
                    && runs.containsKey(claim.id().key())) {
                throw new AssertionError("false not_run for " + claim.id() + ": " + detail);
            }
        }
    }
}
