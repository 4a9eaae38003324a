package io.laburnummoor.wire.process;

import java.util.List;
import java.util.stream.Stream;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.process.ClaimSegment;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.core.request.RecordedResult;
import io.laburnummoor.core.request.RequestId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Guards against claims that change when they are stored, and against values over the key-value service's limit. */
final class JacksonSegmentCodecTest {
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final JacksonSegmentCodec codec = new JacksonSegmentCodec();

    static Stream<ClaimSegment> segments() {
        ClaimRecord claim = new ClaimRecord(
                ClaimState.CLAIMED, new RequestId("antenas \"ä\"", "k"), "n", "router-1", "digest", 17, null);
        return Stream.of(
                ClaimSegment.EMPTY,
                new ClaimSegment(false, 5, List.of("op-1"), List.of(claim)),
                new ClaimSegment(
                        true,
                        Long.MAX_VALUE,
                        List.of("op-1", "op-2"),
                        List.of(
                                claim,
                                claim.released(),
                                claim.done(new RecordedResult(201, "text/plain", "YQ==", 1)),
                                claim.done(new RecordedResult(200, "", null, 9_999)))));
    }

    @ParameterizedTest
    @MethodSource("segments")
    void segmentIsUnchangedAfterStorage(ClaimSegment segment) {
        assertThat(codec.decode(codec.encode(segment)), is(segment));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "not json", "{\"schema_version\":2}", "{\"schema_version\":1,\"records\":[{}]}"})
    void unreadableSegmentIsAnError(String text) {
        Assertions.assertThrows(LaburnummoorException.class, () -> codec.decode(text));
    }

    @ParameterizedTest
    @ValueSource(ints = {ClaimPolicy.MAX_BATCH_RECORDS})
    void fullBatchFitsIntoOneValue(int records) {
        String body = "A".repeat((ClaimPolicy.MAX_RECORDED_BODY_BYTES + 2) / 3 * 4);
        ClaimRecord done = new ClaimRecord(
                        ClaimState.CLAIMED,
                        new RequestId("o".repeat(64), "01a24044-5984-7213-a982-3a4a29bb188f"),
                        "01a24044-5984-7213-a982-3a4a29bb188f",
                        "r".repeat(64),
                        "d".repeat(64),
                        Long.MAX_VALUE,
                        null)
                .done(new RecordedResult(200, "c".repeat(64), body, body.length()));
        List<ClaimRecord> batch = java.util.Collections.nCopies(records, done);
        int sizeBytes =
                codec.encode(new ClaimSegment(true, 1, List.of("op"), batch)).length();
        assertThat(sizeBytes + ClaimPolicy.STANDARD.sealThresholdBytes(), lessThan(MAX_VALUE_BYTES));
    }
}
