package io.laburnummoor.wire.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import io.laburnummoor.core.connection.CrashRecord;
import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.PromptPartCrash;
import io.laburnummoor.core.connection.ReportedPace;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.process.CrashSuspect;
import io.laburnummoor.core.process.RouterLoad;
import io.laburnummoor.core.process.SuspectPromptPart;
import io.laburnummoor.core.version.VersionCounts;
import org.apache.thrift.TException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Guards against messages that change on the way or do not fit into one packet. */
final class LoadCodecTest {
    private static final int PACKET_BYTES = 1_400;

    private static List<PromptPartCrash> crashes(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new PromptPartCrash(Long.MAX_VALUE - i, 1_796_386_902_037L, Long.MIN_VALUE))
                .toList();
    }

    @ParameterizedTest(name = "{0} upstreams, {1} paces")
    @CsvSource({"0, 0", "1, 0", "28, 0", "48, 0", "0, 6", "20, 6", "40, 6"})
    void messagesArriveUnchangedInOnePacket(int upstreams, int paceCount) throws TException {
        Map<String, UpstreamLoad> loads = new HashMap<>();
        for (int i = 0; i < upstreams; i++) {
            loads.put("i-00000000" + i, new UpstreamLoad(i, 14_400L * i, 88_000, paceCount > 0 ? 14_400L * i : 0));
        }
        Map<Long, Map<String, VersionCounts>> counts =
                upstreams == 0 ? Map.of() : Map.of(9L, Map.of("r-1", new VersionCounts(4, 3, 2, 1)));
        List<CrashSuspect> suspects = upstreams == 0
                ? List.of()
                : List.of(new CrashSuspect("4fd1", List.of(new CrashRecord("i-3", 5, false)), 0, 9));
        List<SuspectPromptPart> parts = upstreams > 28
                ? List.of()
                : IntStream.range(0, Math.min(4, upstreams))
                        .mapToObj(i -> new SuspectPromptPart(
                                "drafter/dense70b/" + "e4402b7".repeat(6) + i, crashes(2), 1_796_386_902_000L))
                        .toList();
        List<EndedIncarnation> ended =
                upstreams == 0 ? List.of() : List.of(new EndedIncarnation("i-4", 1_796_386_902_037L));
        List<ReportedPace> paces = IntStream.range(0, paceCount)
                .mapToObj(i -> new ReportedPace("i-00000000" + i, 10_000, i == 1 ? 0 : 800, 499))
                .toList();
        RouterLoad sent = new RouterLoad(
                "frontend-asahikawa-1", Long.MIN_VALUE, 77, counts, suspects, parts, ended, loads, paces);

        byte[] bytes = LoadCodec.encode(sent);

        assertThat(LoadCodec.decode(bytes), is(sent));
        assertThat(bytes.length, is(lessThan(PACKET_BYTES)));
    }
}
