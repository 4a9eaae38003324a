package io.laburnummoor.core.request;

import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a second run of a request that may run once and against a false promise that nothing ran. */
final class AttemptLedgerTest {
    static Stream<Arguments> fates() {
        return Stream.of(
                Arguments.of(RepeatRule.AT_MOST_ONCE, AttemptFate.NOT_SENT, true, true),
                Arguments.of(RepeatRule.AT_MOST_ONCE, AttemptFate.NOT_EXECUTED, true, true),
                Arguments.of(RepeatRule.AT_MOST_ONCE, AttemptFate.SENT, false, false),
                Arguments.of(RepeatRule.AT_MOST_ONCE, AttemptFate.UNKNOWN, false, false),
                Arguments.of(RepeatRule.AT_MOST_ONCE, AttemptFate.ANSWERED, false, false),
                Arguments.of(RepeatRule.IDEMPOTENT, AttemptFate.UNKNOWN, true, false),
                Arguments.of(RepeatRule.IDEMPOTENT, AttemptFate.ANSWERED, true, false),
                Arguments.of(RepeatRule.RESUMABLE, AttemptFate.UNKNOWN, true, false));
    }

    @ParameterizedTest(name = "{0} after {1}")
    @MethodSource("fates")
    void oneAttemptDecidesRepeatAndPromise(RepeatRule rule, AttemptFate fate, boolean repeats, boolean promises) {
        AttemptLedger ledger = new AttemptLedger(rule, 2);

        ledger.record(ledger.open("a"), fate);

        assertThat(ledger.mayRepeat(), is(repeats));
        assertThat(ledger.mayPromiseNotRun(), is(promises));
    }

    @ParameterizedTest(name = "upstream ended: {0}")
    @MethodSource("ended")
    void upstreamsThatEndedDoNotCountAgainstTheBound(boolean ended, boolean repeats) {
        AttemptLedger ledger = new AttemptLedger(RepeatRule.RESUMABLE, 1);
        ledger.record(ledger.open("a"), AttemptFate.UNKNOWN);
        if (ended) {
            ledger.recordEnded("a");
        }

        assertThat(ledger.mayRepeat(), is(repeats));
    }

    static Stream<Arguments> ended() {
        return Stream.of(Arguments.of(true, true), Arguments.of(false, false));
    }

    /** The oracle follows the fates alone, without the ledger's rules. */
    @Property(seed = "20261204")
    void neverRunsTwiceNorPromisesFalsely(
            @ForAll @Size(min = 1, max = 12) List<AttemptFate> fates, @ForAll @IntRange(min = 1, max = 4) int max) {
        AttemptLedger ledger = new AttemptLedger(RepeatRule.AT_MOST_ONCE, max);
        int mayHaveRun = 0;
        for (AttemptFate fate : fates) {
            if (!ledger.mayRepeat()) {
                break;
            }
            ledger.record(ledger.open("u" + ledger.attemptCount()), fate);
            mayHaveRun += fate == AttemptFate.NOT_SENT || fate == AttemptFate.NOT_EXECUTED ? 0 : 1;
            assertThat(ledger.mayPromiseNotRun(), is(mayHaveRun == 0));
        }
        assertThat(mayHaveRun <= 1, is(true));
    }

    @Property(seed = "20261204")
    void upstreamsThatMayRunStayWithinTheBound(
            @ForAll @Size(min = 1, max = 12) List<AttemptFate> fates, @ForAll @IntRange(min = 1, max = 4) int max) {
        AttemptLedger ledger = new AttemptLedger(RepeatRule.IDEMPOTENT, max);
        int mayHaveRun = 0;
        for (AttemptFate fate : fates) {
            if (!ledger.mayRepeat()) {
                break;
            }
            ledger.record(ledger.open("u" + ledger.attemptCount()), fate);
            mayHaveRun += fate.mayHaveRun() ? 1 : 0;
        }
        assertThat(mayHaveRun <= max, is(true));
    }
}
