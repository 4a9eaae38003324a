package io.laburnummoor.bench.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a change of what callers see: statuses, codes, headers and events of the HTTP interface. */
final class GenerationsHttpTest {
    private static final String GOOD = "{\"service\":\"drafter\",\"prompt\":\"p\",\"max_tokens\":3,\"stream\":true}";
    private static final String SLOW = "{\"service\":\"drafter\",\"prompt\":\"p\",\"max_tokens\":2000,\"stream\":true}";
    private static final String LONG_PROMPT = "\"" + "p".repeat(2 << 20) + "\"";
    private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: ?(.*):-?\\d+:(\\d+)$");
    private static final Pattern TOKEN = Pattern.compile("\"token_id\":\\d+,\"text\":\"[^\"]*\"");

    private static final LocalDeployment DEPLOYMENT =
            new LocalDeployment(List.of("sapporo", "niseko"), 1, 1, new EngineSettings("v1", 5, 5, 1));
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    @BeforeAll
    static void start() throws InterruptedException {
        DEPLOYMENT.start();
    }

    @AfterAll
    static void stop() {
        DEPLOYMENT.close();
    }

    static List<Arguments> badRequests() {
        return List.of(
                bad("a body that is not JSON", "{", 400, "bad_request"),
                bad("an empty body", "", 400, "bad_request"),
                bad("a body that is no object", "[]", 400, "bad_request"),
                bad("an unknown field", GOOD.replace("prompt", "promt"), 400, "bad_request"),
                bad("no prompt", "{\"service\":\"drafter\"}", 400, "bad_request"),
                bad("a prompt that is no text", GOOD.replace("\"p\"", "1"), 400, "bad_request"),
                bad("no tokens asked for", GOOD.replace(":3", ":0"), 400, "bad_request"),
                bad("a fraction of a token", GOOD.replace(":3", ":1.5"), 400, "bad_request"),
                bad("stream that is no truth value", GOOD.replace("true", "\"yes\""), 400, "bad_request"),
                bad("an unknown priority", GOOD.replace("{", "{\"priority\":\"high\","), 400, "bad_request"),
                bad("too high a temperature", GOOD.replace("{", "{\"temperature\":3,"), 400, "bad_request"),
                bad("an unknown service", GOOD.replace("drafter", "printer"), 404, "unknown_service"),
                bad("a body over the limit", GOOD.replace("\"p\"", LONG_PROMPT), 413, "body_too_large"),
                bad("a wrong key", GOOD, 401, "unauthenticated", "Authorization", "Bearer wrong"),
                bad("another scheme", GOOD, 401, "unauthenticated", "Authorization", "Basic eDp5"),
                bad("a blank idempotency key", GOOD, 400, "bad_request", "Idempotency-Key", " "),
                bad("a long idempotency key", GOOD, 400, "bad_request", "Idempotency-Key", "k".repeat(201)),
                bad("a malformed event id", GOOD, 400, "bad_request", "Last-Event-ID", "17"),
                bad("a negative offset", GOOD, 400, "bad_request", "Last-Event-ID", "a:1:-1"),
                bad("a lost answer", GOOD, 410, "answer_lost", "Last-Event-ID", "drafter-sapporo-1:1:2"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("badRequests")
    void badInputIsRefused(String name, String body, int status, String code, String header, String value)
            throws IOException, InterruptedException {
        HttpResponse<String> response = send(0, body, header, value);
        JsonNode problem = HttpStandIn.MAPPER.readTree(response.body());
        assertThat(problem.path("code").asText(), is(code));
        assertThat(response.statusCode(), is(status));
        assertThat(problem.path("status").asInt(), is(status));
        assertThat(response.headers().firstValue("Content-Type").orElse(""), is("application/problem+json"));
    }

    @ParameterizedTest(name = "on router {0}")
    @ValueSource(ints = {0, 1})
    void aRunningKeyIsRefused(int router) throws IOException, InterruptedException {
        String key = "running-" + router;
        HttpResponse<InputStream> running =
                HTTP.send(request(0, SLOW, "Idempotency-Key", key), HttpResponse.BodyHandlers.ofInputStream());
        running.body().read();

        HttpResponse<String> same = send(router, SLOW, "Idempotency-Key", key);
        HttpResponse<String> other = send(router, GOOD, "Idempotency-Key", key);

        running.body().close();
        assertThat(HttpStandIn.MAPPER.readTree(same.body()).path("code").asText(), is("duplicate_running"));
        assertThat(same.statusCode(), is(409));
        assertThat(HttpStandIn.MAPPER.readTree(other.body()).path("code").asText(), is("key_reused"));
        assertThat(other.statusCode(), is(422));
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"streamed", "whole"})
    void aSessionIsAsRecorded(String form) throws IOException, InterruptedException {
        String body = form.equals("streamed") ? GOOD : GOOD.replace(",\"stream\":true", "");
        StringBuilder session = new StringBuilder();
        for (int router : new int[] {0, 0, 1}) {
            HttpResponse<String> response = send(router, body, "Idempotency-Key", "session-" + form);
            session.append("POST /v1/completions ").append(body).append('\n');
            session.append(response.statusCode()).append(' ');
            session.append(response.headers().firstValue("Content-Type").orElse(""))
                    .append(' ');
            session.append(response.headers().firstValue("Idempotency-Key").orElse(""))
                    .append('\n');
            session.append(response.body().strip()).append("\n\n");
        }
        Approvals.verify(
                session.toString(),
                new Options(GenerationsHttpTest::withoutIds).forFile().withAdditionalInformation(form));
    }

    private static String withoutIds(String text) {
        // Comments depend on the time between tokens only.
        String events = EVENT_ID.matcher(text.replace(": keep-alive\n\n", "")).replaceAll("id: <agent>:<epoch>:$2");
        return TOKEN.matcher(events)
                .replaceAll("\"token_id\":<token>,\"text\":\"<text>\"")
                .replaceAll(
                        "\"text\":\" w[^\"]*\",\"token_ids\":\\[[^\\]]*\\]", "\"text\":\"<text>\",\"token_ids\":[<3>]");
    }

    private static Arguments bad(String name, String body, int status, String code) {
        return bad(name, body, status, code, "X-Caller-Id", "test");
    }

    private static Arguments bad(String name, String body, int status, String code, String header, String value) {
        return Arguments.of(name, body, status, code, header, value);
    }

    private static HttpResponse<String> send(int router, String body, String header, String value)
            throws IOException, InterruptedException {
        return HTTP.send(request(router, body, header, value), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest request(int router, String body, String header, String value) {
        return HttpRequest.newBuilder(DEPLOYMENT.routers().get(router).address().resolve("/v1/completions"))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + LocalDeployment.CALLER_KEY)
                .setHeader(header, value)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }
}
