package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

/** Guards against tokens that change, vanish or leak into an earlier entry when the shared token log grows. */
final class JournalEntryTest {
    private static final RequestId ID = new RequestId("office", "key");
    private static final List<EpochSpan> HISTORY = List.of(new EpochSpan(1, 0));

    @ParameterizedTest
    @CsvSource({"1, 1, word", "63, 2, é", "64, 64, 雪", "1000, 7, ''", "5000, 1000, 'a longer piece of text'"})
    void appendKeepsTokensOfEarlierEntry(int firstCount, int addedCount, String text) {
        List<Token> all = new ArrayList<>();
        for (int i = 0; i < firstCount + addedCount; i++) {
            all.add(new Token(i * 31, text + i));
        }
        List<Token> first = all.subList(0, firstCount);
        JournalEntry entry = JournalEntry.open(
                new JournalOpenRequest(
                        ID, "router", new Binding("drafter", "v1", "", 1), "digest", HISTORY, first, true),
                1_000);
        JournalAppend append =
                new JournalAppend(ID, 1, firstCount - 1, all.subList(firstCount - 1, all.size()), null, true);

        JournalEntry appended = entry.append(append, 2_000);

        assertThat(appended, notNullValue());
        assertThat(Objects.requireNonNull(appended).tokens(), is(all));
        assertThat(entry.tokens(), is(first));
    }
}
