package io.laburnummoor.core.process;

import java.util.List;
import java.util.stream.LongStream;

import io.laburnummoor.core.StoreVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against changes that a router which reads them from another one misses or takes for complete. */
final class RecentChangesTest {
    private static final long START = 100;

    /** The history starts at version 100 and has one change for each version up to the given one. */
    @ParameterizedTest(name = "changes to {0}, asked after {1}: {2}")
    @CsvSource({
        "100, 100, 0",
        "110, 100, 10",
        "110, 105, 5",
        "110, 110, 0",
        "110, 120, 0",
        "110, 99, -1",
        "700, 600, 100",
        "700, 188, 512",
        "700, 187, -1",
    })
    void exactlyTheLaterChangesAreReturned(long end, long after, long expected) {
        RecentChanges changes = new RecentChanges();
        changes.restart(START);
        for (long version = START + 1; version <= end; version++) {
            changes.append(new ChangeFeed.Batch(List.of(change(version)), version));
        }

        ChangeFeed.Batch batch = changes.after(after);

        assertThat(batch == null ? -1L : batch.changes().size(), is(expected));
        if (batch != null) {
            assertThat(batch.version(), is(Math.max(end, after)));
            assertThat(
                    batch.changes().stream().map(ChangeFeed.Change::version).toList(),
                    is(LongStream.rangeClosed(after + 1, end).boxed().toList()));
        }
    }

    @ParameterizedTest(name = "asked after {0}")
    @CsvSource({"0", "100", "9999"})
    void nothingIsKnownWithoutACompleteRead(long after) {
        RecentChanges changes = new RecentChanges();
        assertThat(changes.after(after) == null, is(true));
        changes.restart(START);
        changes.clear();
        assertThat(changes.after(after) == null, is(true));
    }

    /** Guards against a router that takes the lack of later changes in another era for having read them all. */
    @ParameterizedTest(name = "known revision {1} of era {0}, asked after revision {3} of era {2}")
    @CsvSource({"0, 110, 1, 105", "0, 110, 1, 120", "1, 110, 0, 110", "1, 110, 0, 120", "1, 110, 2, 110"})
    void nothingIsKnownOfAnotherEra(long era, long revision, long askedEra, long askedRevision) {
        RecentChanges changes = new RecentChanges();
        changes.restart(StoreVersion.of(era, START));
        long version = StoreVersion.of(era, revision);
        changes.append(new ChangeFeed.Batch(List.of(change(version)), version));

        assertThat(changes.after(StoreVersion.of(askedEra, askedRevision)) == null, is(true));
        assertThat(changes.after(StoreVersion.of(era, START)) == null, is(false));
    }

    /**
     * Guards against a history that fills the heap: 512 configurations of 326 kB took 167 MB. A router that asks for a
     * change that was dropped must get no incomplete history.
     */
    @ParameterizedTest(name = "{0} values of {1} kB")
    @CsvSource({"512, 7, 512", "600, 7, 512", "600, 326, 12", "20, 1024, 3", "3, 8192, 0"})
    void theHistoryIsBoundedInSize(int count, int valueKilobytes, int kept) {
        RecentChanges changes = new RecentChanges();
        changes.restart(START);
        String value = "v".repeat(valueKilobytes << 10);
        for (long version = START + 1; version <= START + count; version++) {
            changes.append(new ChangeFeed.Batch(List.of(new ChangeFeed.Change("key", value, version)), version));
        }

        long end = START + count;
        ChangeFeed.Batch known = changes.after(end - kept);
        assertThat(known == null ? -1 : known.changes().size(), is(kept));
        boolean complete = kept == count;
        assertThat(changes.after(end - kept - 1) == null, is(true));
        assertThat(changes.after(START) == null, is(!complete));
    }

    private static ChangeFeed.Change change(long version) {
        return new ChangeFeed.Change("key", "value", version);
    }
}
