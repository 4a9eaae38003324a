package io.laburnummoor.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.bench.request.TokenOracle;

/** Makes one streamed request, shows its tokens and checks them; can crash the busy engine in the middle. */
@Parameters(commandDescription = "Make one streamed request and check its answer")
final class CompleteCommand implements BenchCommand {
    private static final int WORDS_PER_LINE = 12;

    @Parameter(names = "--router", required = true, description = "address of a router")
    private String router = "";

    @Parameter(names = "--key", required = true, description = "key of the organisation")
    private String key = "";

    @Parameter(names = "--service", required = true, description = "name of the service")
    private String service = "";

    @Parameter(names = "--version", description = "upstream version that is expected to answer")
    private String version = "v1";

    @Parameter(names = "--prompt-tokens", description = "number of words in the prompt")
    private int promptTokens = 300;

    @Parameter(names = "--max-tokens", description = "number of tokens to generate")
    private int maxTokens = 200;

    @Parameter(names = "--crash-after", description = "crash the busy engine after this many tokens, 0 for never")
    private int crashAfter;

    @Parameter(names = "--engine", description = "address of an engine that may be crashed")
    private List<String> engines = new ArrayList<>();

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Integer> tokenIds = new ArrayList<>();
    private long lastTokenNanos = System.nanoTime();
    private long longestGapMillis;

    @Override
    public int run() throws InterruptedException {
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < promptTokens; i++) {
            prompt.append("word").append(i).append(' ');
        }
        ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
        body.put("service", service).put("prompt", prompt.toString());
        body.put("max_tokens", maxTokens).put("stream", true);
        StreamClient.StreamEnd end =
                new StreamClient(http, key).run(URI.create(router), body, null, null, this::onToken);
        int firstInvalid = new TokenOracle(version, prompt.toString()).firstInvalid(tokenIds);
        boolean pass = end.complete() && firstInvalid < 0 && tokenIds.size() == maxTokens;
        System.out.printf(
                "%n{\"end\":\"%s\",\"tokens\":%d,\"first_invalid\":%d,\"longest_gap_millis\":%d,\"pass\":%s}%n",
                end.reason(), tokenIds.size(), firstInvalid, longestGapMillis, pass);
        return pass ? 0 : 1;
    }

    private void onToken(String eventId, int offset, int tokenId, String text) {
        long nowNanos = System.nanoTime();
        if (offset > 0) {
            longestGapMillis = Math.max(longestGapMillis, (nowNanos - lastTokenNanos) / 1_000_000);
        }
        lastTokenNanos = nowNanos;
        tokenIds.add(tokenId);
        System.out.print(text);
        if (tokenIds.size() % WORDS_PER_LINE == 0) {
            System.out.println();
        }
        if (tokenIds.size() == crashAfter) {
            // On another thread, so that the time of these calls does not count as a gap in the answer.
            new Thread(this::crashBusyEngine, "crash").start();
        }
    }

    private void crashBusyEngine() {
        // The engine that takes over is busy too after the crash, so only one engine is crashed.
        boolean asked = false;
        for (String engine : engines) {
            if (asked) {
                return;
            }
            try {
                JsonNode health = HttpStandIn.MAPPER.readTree(get(engine + "/health"));
                if (health.path("running").asInt() > 0) {
                    System.out.printf("%n--- crashing engine %s ---%n", engine);
                    asked = true;
                    get(engine + "/control/exit");
                }
            } catch (IOException crashed) {
                // The engine ends before it answers; that is what was asked for.
            }
        }
    }

    private String get(String address) throws IOException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(address)).build();
            return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", interrupted);
        }
    }
}
