package io.laburnummoor.gateway.request;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against refusals without a retry delay, for example at a deadline before any engine was reached. */
final class LocalReplyTest {
    @ParameterizedTest(name = "{0} {1} ms")
    @CsvSource({"deadline_exceeded, 0, 50", "configuration_unknown, 50, 50", "no_upstream, 400, 400"})
    void everyRefusalHasARetryDelay(String code, long requestedMillis, long expectedMillis) {
        LocalReply refusal = LocalReply.notRun(code, requestedMillis);

        assertThat(refusal.status(), is(503));
        assertThat(refusal.retryAfterMillis(), is(expectedMillis));
    }
}
