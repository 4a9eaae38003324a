package io.laburnummoor.core.process;

import java.util.List;

import io.laburnummoor.core.connection.CrashRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/**
 * Guards against crashes that count against a request which also runs to a good end, and against successes of some
 * requests that hide from the other routers that another one crashes engines.
 */
final class CrashSuspectTableTest {
    private static final int MAX_REPORTED = 4;

    private long nowMillis = 100_000;
    private final CrashSuspectTable table = new CrashSuspectTable(() -> nowMillis);
    private final CrashSuspectTable other = new CrashSuspectTable(() -> nowMillis);

    /** Counts a crash 600 ms after the loss, as a router does that confirms it first. */
    private static void crash(CrashSuspectTable counting, String fingerprint, String upstream, long lostAtMillis) {
        counting.recordCrash(fingerprint, new CrashRecord(upstream, lostAtMillis, false));
    }

    @ParameterizedTest(name = "lost at 0, good end at {0} ms, counted at {1} ms")
    @CsvSource({"700, 600", "300, 600", "1, 600", "500, 5000"})
    void aGoodEndAfterTheLossOutweighsTheCrash(long goodEndMillis, long countedMillis) {
        long lostAtMillis = nowMillis;
        table.recordLoss("f");
        if (goodEndMillis < countedMillis) {
            nowMillis = lostAtMillis + goodEndMillis;
            table.recordSuccess("f");
        }
        nowMillis = lostAtMillis + countedMillis;
        for (int i = 0; i < 3; i++) {
            crash(table, "f", "i-" + i, lostAtMillis);
        }
        if (goodEndMillis >= countedMillis) {
            nowMillis = lostAtMillis + goodEndMillis;
            table.recordSuccess("f");
        }

        assertThat(table.crashCount("f"), is(0));
    }

    @ParameterizedTest(name = "{0} crashes")
    @ValueSource(ints = {1, 3, 5})
    void crashesAfterTheLastGoodEndCount(int crashes) {
        table.recordLoss("f");
        table.recordSuccess("f");
        for (int i = 0; i < crashes; i++) {
            nowMillis += 1_000;
            table.recordLoss("f");
            table.recordSuccess("another");
            crash(table, "f", "i-" + i, nowMillis);
        }

        assertThat(table.crashCount("f"), is(crashes));
    }

    /** Messages of other routers may be late or repeated, and hold crashes from before the good end. */
    @ParameterizedTest(name = "reported {0} ms after the good end")
    @ValueSource(longs = {0, 1_000, 500_000, 590_000})
    void aLateReportDoesNotUndoAGoodEnd(long lateMillis) {
        for (int i = 0; i < 3; i++) {
            crash(other, "f", "i-" + i, nowMillis);
        }
        List<CrashSuspect> late = other.latest(MAX_REPORTED);
        table.merge(late);
        assertThat(table.crashCount("f"), is(3));
        nowMillis += 5_000;
        table.recordSuccess("f");

        nowMillis += lateMillis;
        table.expire();
        table.merge(late);

        assertThat(table.crashCount("f"), is(0));
        other.merge(table.latest(MAX_REPORTED));
        assertThat("the other router learns of the good end", other.crashCount("f"), is(0));
    }

    /** The requests with good ends are used often, so that theirs would always be the latest entries. */
    @ParameterizedTest(name = "{0} requests with good ends")
    @ValueSource(ints = {1, 4, 20})
    void crashesAreReportedBeforeGoodEnds(int sound) {
        for (int i = 0; i < 3; i++) {
            crash(table, "deadly", "i-" + i, nowMillis);
        }
        for (int i = 0; i < sound; i++) {
            nowMillis += 10;
            crash(table, "sound-" + i, "i-9", nowMillis);
            table.recordSuccess("sound-" + i);
        }

        assertThat(
                table.latest(MAX_REPORTED).stream()
                        .map(CrashSuspect::fingerprint)
                        .toList(),
                hasItem("deadly"));
    }

    /** Guards against a table that grows without end with the requests or with the upstreams that crash. */
    @ParameterizedTest(name = "{0} requests, each with {1} crashes")
    @CsvSource({"1, 1000", "3000, 1", "1500, 20"})
    void theTableIsBounded(int requests, int crashes) {
        for (int i = 0; i < requests; i++) {
            for (int j = 0; j < crashes; j++) {
                nowMillis++;
                crash(table, "f-" + i, "i-" + j, nowMillis);
            }
        }
        table.expire();
        List<CrashSuspect> kept = table.latest(requests);

        assertThat(kept.size(), is(Math.min(requests, CrashSuspectTable.MAX_SUSPECTS)));
        assertThat(
                kept.stream().mapToInt(each -> each.crashes().size()).max().orElse(0),
                is(Math.min(crashes, CrashSuspect.MAX_CRASHES)));
        assertThat(kept.get(0).isBlocked(), is(crashes >= CrashSuspect.BLOCKING_CRASHES_UNISOLATED));
    }

    /** While the table is empty, no fingerprint is computed on the path of a request. */
    @ParameterizedTest(name = "a good end each {0} ms")
    @ValueSource(longs = {100, 10_000})
    void entriesExpireThoughGoodEndsContinue(long intervalMillis) {
        table.recordLoss("f");
        crash(table, "f", "i-1", nowMillis);
        long endMillis = nowMillis + CrashSuspectTable.RETENTION_MILLIS;
        while (nowMillis < endMillis) {
            nowMillis += intervalMillis;
            table.recordSuccess("f");
            table.expire();
        }

        assertThat(table.isEmpty(), is(true));
    }
}
