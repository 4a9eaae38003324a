package io.laburnummoor.core.process;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a partition with two holders, and against one that no router can take over. */
final class PartitionLeasesTest {
    @ParameterizedTest
    @CsvSource({"false, first", "true, second"})
    void secondRouterGetsPartitionOnlyByTakeOver(boolean takeOver, String expectedHolder) {
        FaultyStore store = new FaultyStore();
        PartitionLeases first = new PartitionLeases(store, "first", () -> 0);
        PartitionLeases second = new PartitionLeases(store, "second", () -> 0);
        assertThat(first.acquire(3, false), is("first"));
        assertThat(second.acquire(3, takeOver), is(expectedHolder));
        second.releaseAll();
        first.markLost(3);
        assertThat(List.of(first.acquire(3, false)), is(List.of("first")));
    }
}
