package io.laburnummoor.bench.process;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against idempotent calls that the stand-alone router sends on after their callers have left. Calls and
 * generations with an idempotency key are not meant: their callers may come back for the answer.
 */
@Tag("known-red")
final class DepartedCallerRouterTest {
    private static final String REQUEST = "GET /services/" + PlainServiceNode.SERVICE + "/parts/7 HTTP/1.1\r\n"
            + "Host: 127.0.0.1\r\nAuthorization: Bearer " + LocalDeployment.CALLER_KEY + "\r\n\r\n";
    private static final long SETTLE_MILLIS = 300;

    /** The first call keeps the router from reading the connection, on which a second call and a close follow. */
    @ParameterizedTest(name = "{0} ms later")
    @ValueSource(longs = {0, 600})
    void pipelinedCallOfADepartedCallerIsNotSentOn(long answeredAfterMillis) throws Exception {
        try (LocalDeployment deployment =
                new LocalDeployment(List.of("bsas-norte"), 0, 1, new EngineSettings("v1", 1, 1, 1), 1, 2_000)) {
            deployment.start();
            PlainServiceStandIn service = deployment.plainServices().get(0).service();
            service.pause();
            leaveAfterTwoRequests(deployment.routers().get(0).address());
            Thread.sleep(SETTLE_MILLIS + answeredAfterMillis);

            service.unpause();
            Thread.sleep(SETTLE_MILLIS);

            assertThat(service.receivedCount(), is(1));
        }
    }

    private static void leaveAfterTwoRequests(URI router) throws IOException, InterruptedException {
        try (Socket caller = new Socket(router.getHost(), router.getPort())) {
            caller.getOutputStream().write(REQUEST.repeat(2).getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(SETTLE_MILLIS);
        }
    }
}
