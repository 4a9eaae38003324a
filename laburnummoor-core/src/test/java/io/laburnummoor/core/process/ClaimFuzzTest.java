package io.laburnummoor.core.process;

import java.util.List;
import java.util.Random;

import io.laburnummoor.core.process.ClaimSimulation.Action;
import io.laburnummoor.core.process.ClaimSimulation.Step;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Tuple;

/**
 * Guards against double execution, false {@code not_run} answers and wrong results under generated sequences of
 * failures.
 */
final class ClaimFuzzTest {
    private static final int MAX_STEPS = 120;
    private static final int GEN_SIZE = 1_000;

    @Property(seed = "20261204", tries = 1_500)
    void invariantsHoldWithFixedSeed(@ForAll("scripts") List<Step> script) {
        run(script);
    }

    /** Runs as many scripts as {@code bin/fuzz-claims} requests; one script in a normal build. */
    @Property(tries = 1, seed = "1")
    void invariantsHoldWithGivenSeed() {
        long seed = Long.getLong("fuzz.seed", 1);
        int tries = Integer.getInteger("fuzz.tries", 1);
        RandomGenerator<List<Step>> generator = scripts().generator(GEN_SIZE, false);
        Random random = new Random(seed);
        for (int i = 0; i < tries; i++) {
            List<Step> script = generator.next(random).value();
            try {
                run(script);
            } catch (RuntimeException | AssertionError failure) {
                throw new AssertionError("seed " + seed + ", script " + i + ": " + script, failure);
            }
        }
    }

    @Provide
    Arbitrary<List<Step>> scripts() {
        Arbitrary<Action> actions = Arbitraries.frequency(
                Tuple.of(6, Action.CALL),
                Tuple.of(8, Action.COMMIT),
                Tuple.of(2, Action.COMMIT_AGAIN),
                Tuple.of(1, Action.LOSE_REPLY),
                Tuple.of(2, Action.RESEND),
                Tuple.of(3, Action.RUN_AND_ANSWER),
                Tuple.of(2, Action.RUN_AND_LOSE),
                Tuple.of(1, Action.LOSE_WITHOUT_RUN),
                Tuple.of(2, Action.REFUSE),
                Tuple.of(1, Action.CRASH_CLAIMANT),
                Tuple.of(1, Action.RESTART_HOLDER),
                Tuple.of(2, Action.PAUSE_HOLDER),
                Tuple.of(4, Action.SEND_RECORDS),
                Tuple.of(2, Action.STORE_REPLY_LOST),
                Tuple.of(1, Action.STORE_WRITE_LOST),
                Tuple.of(2, Action.STORE_WRITE_DELAYED),
                Tuple.of(2, Action.APPLY_DELAYED_WRITE),
                Tuple.of(1, Action.STORE_UNAVAILABLE),
                Tuple.of(2, Action.STORE_AVAILABLE),
                Tuple.of(1, Action.ADVANCE_WITHIN_CLAIM_TIMEOUT),
                Tuple.of(1, Action.ADVANCE_PAST_VIEW_MAX_AGE),
                Tuple.of(1, Action.ADVANCE_BY_RETENTION),
                Tuple.of(1, Action.DROP_OLDEST));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 11);
        return Combinators.combine(actions, numbers, numbers)
                .as(Step::new)
                .list()
                .ofMinSize(MAX_STEPS / 4)
                .ofMaxSize(MAX_STEPS);
    }

    private static void run(List<Step> script) {
        ClaimSimulation simulation = new ClaimSimulation();
        script.forEach(simulation::apply);
    }
}
