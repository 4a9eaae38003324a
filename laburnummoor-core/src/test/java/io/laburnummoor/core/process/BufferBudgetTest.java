package io.laburnummoor.core.process;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against responses without end that take all memory, so that other requests on the process end with them. */
final class BufferBudgetTest {
    private static final long LIMIT_BYTES = 40L << 20;
    private static final int CHUNK_BYTES = 65_536;
    private static final int SMALL_CHUNK_BYTES = 8_192;
    private static final int SMALL_RESPONSE_BYTES = 100_000;

    @ParameterizedTest(name = "{0} responses without end")
    @CsvSource({"1", "2", "10", "60", "200"})
    void endlessResponsesLeaveRoomForSmallOnes(int endless) {
        BufferBudget budget = new BufferBudget(LIMIT_BYTES);
        long[] held = new long[endless];
        boolean anyGrows = true;
        while (anyGrows) {
            anyGrows = false;
            for (int i = 0; i < endless; i++) {
                if (budget.tryReserve(held[i], CHUNK_BYTES)) {
                    held[i] += CHUNK_BYTES;
                    anyGrows = true;
                }
            }
        }

        assertThat(budget.usedBytes(), is(lessThanOrEqualTo(LIMIT_BYTES)));
        assertThat(held[0], is(greaterThanOrEqualTo(LIMIT_BYTES / (endless + 1) - CHUNK_BYTES)));
        assertThat("a small response fits", budget.tryReserve(0, SMALL_RESPONSE_BYTES), is(true));
    }

    /** Guards against responses that wait for slow readers and take half of what is free each, so that none fits. */
    @ParameterizedTest(name = "{0} responses of {1} bytes")
    @CsvSource({"40, 6000000", "40, 1000000", "200, 1000000", "1000, 200000", "100000, 140000"})
    void responsesForSlowReadersLeaveRoomForSmallOnes(int responses, int sizeBytes) {
        BufferBudget budget = new BufferBudget(LIMIT_BYTES);
        for (int i = 0; i < responses; i++) {
            long held = 0;
            while (held < sizeBytes && budget.tryReserve(held, SMALL_CHUNK_BYTES)) {
                held += SMALL_CHUNK_BYTES;
            }
            budget.release(held < sizeBytes ? held : 0);
        }
        int small = 0;
        while (budget.hasRoom() && budget.tryReserve(0, SMALL_CHUNK_BYTES)) {
            small++;
        }

        assertThat("small buffers", small, is(greaterThanOrEqualTo(100)));
        assertThat(budget.usedBytes(), is(lessThanOrEqualTo(LIMIT_BYTES)));
    }
}
