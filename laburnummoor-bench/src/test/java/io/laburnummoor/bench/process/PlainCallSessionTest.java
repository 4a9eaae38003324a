package io.laburnummoor.bench.process;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

import io.laburnummoor.bench.request.PlainCaller;
import io.laburnummoor.router.process.PlainCalls;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against changes of what callers of non-idempotent calls see. */
final class PlainCallSessionTest {
    private static final String PATH = "/services/" + PlainServiceNode.SERVICE + "/confirmations";
    private static final long DAY_MILLIS = 86_400_000;

    static List<Arguments> sessions() {
        return List.of(
                session("first_call", s -> s.post(0, "order 1")),
                session("repeated_call", s -> {
                    s.post(0, "order 1");
                    s.awaitRecorded(0);
                    s.post(1, "order 1");
                    s.post(0, "another order");
                }),
                session("outcome_unknown", s -> {
                    s.deployment.plainServices().get(0).service().dropAfterRun(1);
                    s.post(0, "order 1");
                    s.post(1, "order 1");
                }),
                session("not_run_during_outage", s -> {
                    s.deployment.platform().setDown(true);
                    s.post(0, "order 1");
                    s.get("/services/" + PlainServiceNode.SERVICE + "/parts/7");
                    s.deployment.platform().setDown(false);
                    s.sleep(400);
                    s.post(1, "order 1");
                }),
                session("no_false_not_run_during_outage", s -> {
                    s.post(0, "order 1");
                    s.awaitRecorded(0);
                    s.deployment.platform().setDown(true);
                    s.post(1, "order 1");
                }),
                session("not_run_without_upstream", s -> {
                    s.deployment.plainServices().get(0).service().stop();
                    s.post(0, "order 1");
                }),
                session("expired_key", s -> {
                    s.key = PlainCaller.newKey(System.currentTimeMillis() - DAY_MILLIS - 1_000);
                    s.post(0, "order 1");
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("sessions")
    void sessionMatchesGoldenFile(String name, Consumer<Session> steps) throws Exception {
        try (LocalDeployment deployment = deployment()) {
            deployment.start();
            Session session = new Session(deployment);
            steps.accept(session);
            session.log
                    .append("runs: ")
                    .append(deployment.ledger().runs(session.key))
                    .append('\n');
            Approvals.verify(session.text(), Approvals.NAMES.withParameters(name));
        }
    }

    /**
     * A router was ready once an agent had sent a heartbeat, also one from before the agent had probed its upstream;
     * the first call was then refused, at times beside other load.
     */
    @ParameterizedTest(name = "health takes {0} ms")
    @ValueSource(longs = {0, 100, 300})
    void startedDeploymentAnswersTheFirstCall(long healthMillis) throws Exception {
        try (LocalDeployment deployment = deployment()) {
            deployment.plainServices().get(0).service().setHealthDelay(healthMillis);
            deployment.start();
            Session session = new Session(deployment);

            assertThat(session.post(0, "order 1").code(), is(""));
            assertThat(deployment.ledger().runs(session.key), is(1));
        }
    }

    /** A stopping router used to answer not_run to repetitions of calls that had run through another router. */
    @Test
    void stoppingRouterSaysNothingAboutTheKey() throws Exception {
        try (LocalDeployment deployment = deployment()) {
            deployment.start();
            Session session = new Session(deployment);
            session.post(0, "order 1");
            deployment.routers().get(1).instance(PlainCalls.class).stop();
            assertThat(session.post(1, "order 1").code(), is("stopping"));
        }
    }

    /**
     * Guards against bad input that reaches an upstream or gets an unclear error. Rows without a code are refused by
     * the HTTP server before the router sees them, with a page of its own.
     */
    @ParameterizedTest(name = "{0} {1} key={2} timeout={3}")
    @CsvSource({
        "POST, /services/despacho-app/confirmations, '', '', 400, bad_request",
        "POST, /services/despacho-app/confirmations, order-17, '', 400, bad_request",
        "POST, /services/despacho-app/confirmations, 7d9f3f1e-5a7c-4b0e-9c39-0f6a2f1d9b11, '', 400, bad_request",
        "POST, /services/despacho-app/confirmations, 01a24044-5984-7213-0982-3a4a29bb188f, '', 400, bad_request",
        "POST, /services/despacho-app/confirmations, 00000000-0000-7000-8000-000000000000, '', 410, key_expired",
        "POST, /services/despacho-app/confirmations, ffffffff-ffff-7fff-bfff-ffffffffffff, '', 422, key_not_yet_valid",
        "POST, /services/despacho-app/parts/../confirmations, '', '', 400, bad_request",
        "POST, /services/despacho-app/parts/%2e%2e/confirmations, '', '', 400, ''",
        "POST, /services/despacho-app/parts/..;x/confirmations, '', '', 400, ''",
        "POST, /services/despacho-app//parts, '', '', 400, ''",
        "POST, /services/nowhere/confirmations, '', '', 404, unknown_service",
        "GET, /services/drafter/parts, '', '', 404, unknown_service",
        "GET, /services/despacho-app/parts, '', 0, 400, bad_request",
        "GET, /services/despacho-app/parts, '', soon, 400, bad_request",
    })
    void badInputGetsClearError(String method, String path, String key, String timeout, int status, String code)
            throws Exception {
        LocalDeployment deployment = SharedDeployment.INSTANCE;
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create(deployment.routers().get(0).address() + path))
                .header("Authorization", "Bearer " + LocalDeployment.CALLER_KEY)
                .method(method, HttpRequest.BodyPublishers.ofString("{}"));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        if (!timeout.isEmpty()) {
            request.header("X-Timeout-Millis", timeout);
        }
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
        assertThat(response.body(), response.statusCode(), is(status));
        if (!code.isEmpty()) {
            assertThat(HttpStandIn.MAPPER.readTree(response.body()).path("code").asText(), is(code));
        }
    }

    private static Arguments session(String name, Consumer<Session> steps) {
        return Arguments.of(name, steps);
    }

    private static LocalDeployment deployment() {
        return new LocalDeployment(List.of("bsas-norte"), 0, 2, new EngineSettings("v1", 1, 1, 1), 1, 2_000);
    }

    private static final class SharedDeployment {
        private static final LocalDeployment INSTANCE = started();

        private static LocalDeployment started() {
            LocalDeployment deployment = deployment();
            try {
                deployment.start();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
            return deployment;
        }
    }

    private static final class Session {
        private final LocalDeployment deployment;
        private final PlainCaller caller =
                new PlainCaller(HttpClient.newHttpClient(), LocalDeployment.CALLER_KEY, Duration.ofSeconds(10));
        private final StringBuilder log = new StringBuilder();
        private String key = PlainCaller.newKey(System.currentTimeMillis());

        Session(LocalDeployment deployment) {
            this.deployment = deployment;
        }

        PlainCaller.Answer post(int router, String body) {
            return write(
                    "POST router " + router + " " + PATH + " " + body,
                    () -> caller.post(deployment.routers().get(router).address(), PATH, key, body));
        }

        void get(String path) {
            write(
                    "GET router 0 " + path,
                    () -> caller.get(deployment.routers().get(0).address(), path));
        }

        void awaitRecorded(int router) {
            var claims = deployment.routers().get(router).instance(io.laburnummoor.router.process.ClaimClient.class);
            while (claims.unrecordedCount() > 0) {
                sleep(10);
            }
        }

        void sleep(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        String text() {
            return log.toString().replace(key, "<key>").replaceAll("127\\.0\\.0\\.1:[0-9]+", "<upstream>");
        }

        private PlainCaller.Answer write(String request, CallStep step) {
            try {
                PlainCaller.Answer answer = step.run();
                log.append(request).append('\n').append("  ").append(answer.status());
                HttpResponse<String> response = answer.response();
                if (response != null) {
                    for (String name : List.of("Content-Type", "Idempotency-Replayed", "Retry-After")) {
                        response.headers().firstValue(name).ifPresent(value -> log.append("\n  ")
                                .append(name)
                                .append(": ")
                                .append(value));
                    }
                }
                log.append("\n  ").append(answer.body()).append('\n');
                return answer;
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        private interface CallStep {
            PlainCaller.Answer run() throws InterruptedException;
        }
    }
}
