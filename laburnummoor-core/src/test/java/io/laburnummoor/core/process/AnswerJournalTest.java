package io.laburnummoor.core.process;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.EpochSpan;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.JournalAppend;
import io.laburnummoor.core.request.JournalEntry;
import io.laburnummoor.core.request.JournalOpenRequest;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.Token;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Guards against a journal that loses acknowledged tokens, accepts a stale writer or reports a dead writer as alive.
 */
final class AnswerJournalTest {
    private static final RequestId ID = new RequestId("office", "key");
    private static final List<Token> TOKENS = List.of(new Token(1, "a"), new Token(2, "b"));

    private final AtomicLong nowMillis = new AtomicLong();
    private final AnswerJournal journal = new AnswerJournal(10_000, 600_000, nowMillis::get);

    @ParameterizedTest(name = "entry of epoch {0}, append of epoch {1} at {2}: {3}")
    @CsvSource({
        "5, 5, 2, ACKNOWLEDGED",
        "5, 5, 0, ACKNOWLEDGED",
        "5, 5, 3, MISSING",
        "5, 4, 2, FENCED",
        // An entry with a lower epoch remains from a copy that the writer has moved to another agent; it must not fence
        // it.
        "5, 6, 2, MISSING"
    })
    void appendIsCheckedAgainstTheEpoch(long epoch, long appendEpoch, int offset, String expected) {
        open(epoch, TOKENS);
        assertThat(append(appendEpoch, offset, null), is(AnswerJournal.AppendResult.valueOf(expected)));
    }

    @ParameterizedTest(name = "reopened with epoch {0}: {1} tokens")
    @CsvSource({"5, 3", "6, 0", "4, 3"})
    void repeatedOpeningKeepsAppendedTokens(long epoch, int expectedCount) {
        open(5, TOKENS);
        append(5, 2, null);
        open(epoch, List.of());
        assertThat(entry().tokenCount(), is(expectedCount));
    }

    @ParameterizedTest(name = "takeover with epoch {0}, finished {1}: epoch {2}")
    @CsvSource({"6, false, 6", "5, false, 5", "4, false, 5", "6, true, 5"})
    void takeoverFencesPreviousWriter(long epoch, boolean finished, long expectedEpoch) {
        open(5, TOKENS);
        append(5, 2, finished ? FinishReason.STOP : null);
        JournalEntry taken = journal.takeOver(ID, epoch, "router-2");
        assertThat(taken, is(notNullValue()));
        assertThat(entry().epoch(), is(expectedEpoch));
        assertThat(entry().tokenCount(), is(3));
        assertThat(
                append(5, 3, null),
                is(expectedEpoch > 5 ? AnswerJournal.AppendResult.FENCED : AnswerJournal.AppendResult.ACKNOWLEDGED));
    }

    @ParameterizedTest(name = "{0} ms after the last change: alive {1}")
    @CsvSource({"0, true", "1999, true", "2000, false", "60000, false"})
    void writerIsAliveWhileItRenews(long elapsedMillis, boolean alive) {
        open(5, TOKENS);
        nowMillis.addAndGet(elapsedMillis);
        assertThat(journal.isWriterAlive(entry()), is(alive));
    }

    @ParameterizedTest(name = "position {0}:{1} covered {2}")
    @CsvSource({"1, 4, true", "1, 5, false", "2, 9, true", "2, 10, false", "3, 1, false", "3, 0, true"})
    void positionOfAnotherCopyIsNotCovered(long epoch, int offset, boolean covered) {
        List<EpochSpan> history = List.of(new EpochSpan(1, 0), new EpochSpan(2, 4));
        assertThat(EpochSpan.covers(history, 9, new ResumePosition("agent", epoch, offset)), equalTo(covered));
    }

    private void open(long epoch, List<Token> tokens) {
        journal.open(new JournalOpenRequest(
                ID,
                "router-1",
                new Binding("drafter", "v1", "", 1),
                "digest",
                List.of(new EpochSpan(epoch, 0)),
                tokens,
                true));
    }

    private AnswerJournal.AppendResult append(long epoch, int offset, @Nullable FinishReason reason) {
        return journal.append(new JournalAppend(ID, epoch, offset, List.of(new Token(3, "c")), reason, true));
    }

    private JournalEntry entry() {
        JournalEntry entry = journal.find(ID);
        if (entry == null) {
            throw new AssertionError("no entry");
        }
        return entry;
    }
}
