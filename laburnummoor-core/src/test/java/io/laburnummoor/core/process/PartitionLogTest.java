package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.process.FaultyStore.WriteFault;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimOutcome.Kind;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.core.request.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against single faults of the claim log, such as a grant by a stale holder or a write that takes effect late.
 */
final class PartitionLogTest {
    private static final RecordedResult RESULT = new RecordedResult(200, "", "", 0);

    static List<Arguments> scripts() {
        return List.of(
                script(
                        "a result is accepted by a former holder that has not seen the claim",
                        log -> {
                            log.commit(0, claim("k1", "n1"));
                            log.commit(1, claim("k2", "n2"));
                            log.commit(0, claim("k2", "n2").done(RESULT));
                        },
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.RECORDED),
                script(
                        "a write whose reply was lost is recognised",
                        log -> {
                            log.store.addFault(WriteFault.REPLY_LOST);
                            log.commit(0, claim("k", "n1"));
                            log.commit(1, claim("k", "n2"));
                        },
                        Kind.GRANTED,
                        Kind.ALREADY_CLAIMED),
                script(
                        "a holder paused before its write is fenced",
                        log -> {
                            log.store.runBeforeNextWrite(() -> log.commit(1, claim("k", "n2")));
                            log.commit(0, claim("k", "n1"));
                        },
                        Kind.GRANTED,
                        Kind.ALREADY_CLAIMED),
                script(
                        "a claim that arrives after its release is rejected",
                        log -> {
                            log.commit(0, claim("k", "n1").released());
                            log.commit(1, claim("k", "n1"));
                            log.commit(1, claim("k", "n2"));
                        },
                        Kind.RECORDED,
                        Kind.REJECTED,
                        Kind.GRANTED),
                script(
                        "a release reports the claim of another attempt",
                        log -> {
                            log.commit(0, claim("k", "n1"));
                            log.commit(1, claim("k", "n2").released());
                        },
                        Kind.GRANTED,
                        Kind.ALREADY_CLAIMED),
                script(
                        "the first result stays",
                        log -> {
                            log.commit(0, claim("k", "n1"));
                            log.commit(0, claim("k", "n1").done(RESULT));
                            log.commit(0, claim("k", "n1").done(new RecordedResult(500, "", "", 0)));
                            log.commit(1, claim("k", "n2"));
                        },
                        Kind.GRANTED,
                        Kind.RECORDED,
                        Kind.RECORDED,
                        Kind.ALREADY_DONE),
                script(
                        "a known key is not reported as unused while the store is unavailable",
                        log -> {
                            log.commit(0, claim("k", "n1"));
                            log.store.setUnavailable(true);
                            log.commit(0, claim("k", "n2"));
                            log.commit(0, claim("new", "n3"));
                            log.commit(1, claim("new", "n3"));
                        },
                        Kind.GRANTED,
                        Kind.ALREADY_CLAIMED,
                        Kind.UNAVAILABLE,
                        Kind.UNAVAILABLE),
                script(
                        "a delayed write cannot take effect after a release",
                        log -> {
                            log.store.addFault(WriteFault.WRITE_DELAYED);
                            log.store.addFault(WriteFault.WRITE_LOST);
                            log.store.addFault(WriteFault.WRITE_LOST);
                            log.commit(0, claim("k", "n1"));
                            log.commit(0, claim("k", "n1").released());
                            log.store.applyDelayedWrite();
                            log.commit(1, claim("k", "n2"));
                        },
                        Kind.UNAVAILABLE,
                        Kind.RECORDED,
                        Kind.GRANTED),
                script(
                        "a claim past its deadline is not committed",
                        log -> {
                            log.nowMillis += ClaimPolicy.CLAIM_TIMEOUT_MILLIS;
                            log.commit(0, claim("k", "n1"));
                        },
                        Kind.UNAVAILABLE_FIRST_USE),
                script(
                        "a holder paused past the retention does not recreate a dropped segment",
                        log -> {
                            log.commit(0, claim("k0", "n0"), claim("k1", "n1"), claim("k2", "n2"), claim("k3", "n3"));
                            log.commit(1, claim("k4", "n4"), claim("k5", "n5"), claim("k6", "n6"), claim("k7", "n7"));
                            log.nowMillis += 2 * LogPair.RETENTION_MILLIS;
                            log.logs.get(1).dropOldestSegment();
                            log.logs.get(1).dropOldestSegment();
                            log.commit(1, log.claimIssuedNow("k", "n8"));
                            log.commit(0, log.claimIssuedNow("k", "n9"));
                        },
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.GRANTED,
                        Kind.ALREADY_CLAIMED));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scripts")
    void outcomesMatch(String name, Script script, List<Kind> expected) {
        LogPair pair = new LogPair();
        script.run(pair);
        assertThat(pair.outcomes, is(expected));
    }

    private static Arguments script(String name, Script script, Kind... expected) {
        return Arguments.of(name, script, List.of(expected));
    }

    private static ClaimRecord claim(String key, String nonce) {
        return new ClaimRecord(
                ClaimState.CLAIMED,
                new RequestId("office", key),
                nonce,
                "router",
                "digest",
                ClaimPolicy.CLAIM_TIMEOUT_MILLIS,
                null);
    }

    private interface Script {
        void run(LogPair pair);
    }

    private static final class LogPair {
        private static final long RETENTION_MILLIS = 3_600_000;

        private final FaultyStore store = new FaultyStore();
        private final MemorySegmentCodec codec = new MemorySegmentCodec();
        private final List<Kind> outcomes = new ArrayList<>();
        private final List<PartitionLog> logs = List.of(newLog("a"), newLog("b"));
        private long nowMillis;

        void commit(int holder, ClaimRecord... commands) {
            logs.get(holder).commit(List.of(commands), false).stream()
                    .map(ClaimOutcome::kind)
                    .forEach(outcomes::add);
        }

        ClaimRecord claimIssuedNow(String key, String nonce) {
            return new ClaimRecord(
                    ClaimState.CLAIMED,
                    new RequestId("office", key),
                    nonce,
                    "router",
                    "digest",
                    nowMillis + ClaimPolicy.CLAIM_TIMEOUT_MILLIS,
                    null);
        }

        private PartitionLog newLog(String name) {
            int[] count = {0};
            return new PartitionLog(
                    0, store, codec, new ClaimPolicy(RETENTION_MILLIS, 400), () -> nowMillis, () -> name + count[0]++);
        }
    }
}
