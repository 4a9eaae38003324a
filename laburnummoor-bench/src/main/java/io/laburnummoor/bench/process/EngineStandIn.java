package io.laburnummoor.bench.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.laburnummoor.bench.request.TokenOracle;
import io.laburnummoor.core.request.Token;

/**
 * A stand-in for a model engine: streams tokens of a {@link TokenOracle} at a set pace and can die, pause and leave.
 */
public final class EngineStandIn extends HttpStandIn {
    private static final int STATUS_OK = 200;
    private static final int STATUS_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long PAUSE_POLL_MILLIS = 5;
    private static final int EXIT_KILLED = 137;
    /** A prompt with this text kills the engine that generates from it. */
    static final String CRASHING_TEXT = "crash-the-engine";

    private static final int TOKENS_BEFORE_CRASH = 5;

    private final EngineSettings settings;
    private final long incarnation;
    private final List<ExecutedOrder> executedOrders = new CopyOnWriteArrayList<>();
    private final List<String> adapters = new CopyOnWriteArrayList<>();
    private final SplittableRandom random;
    private final AtomicInteger runningCount = new AtomicInteger();
    private final AtomicInteger waitingCount = new AtomicInteger();
    private final Semaphore slots;
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicLong firstAttemptCount = new AtomicLong();
    private final AtomicLong generatedTokens = new AtomicLong();
    private final AtomicLong prefilledTokens = new AtomicLong();
    private final AtomicInteger refusedCount = new AtomicInteger();
    private volatile long lastAcceptedMillis;
    private volatile boolean dead;
    private volatile boolean paused;
    private volatile boolean leaving;
    private volatile double errorRate;
    private volatile String version;

    /** Creates an engine; port 0 takes a free port. */
    public EngineStandIn(String host, int port, EngineSettings settings) {
        super(host, port);
        this.settings = settings;
        this.version = settings.version();
        this.slots = new Semaphore(settings.slots(), true);
        this.random = new SplittableRandom(settings.seed());
        this.incarnation = random.nextLong() & Long.MAX_VALUE;
        route("/v1/completions", this::complete);
        route("/health", this::health);
        route("/commands", this::command);
        route("/control/exit", exchange -> Runtime.getRuntime().halt(EXIT_KILLED));
    }

    /** Breaks all connections and refuses new ones, as a dead process does. */
    public void die() {
        dead = true;
        stop();
    }

    /** Stops generating without closing connections, until {@link #unpause()}. */
    public void pause() {
        paused = true;
    }

    /** Goes on after a pause. */
    public void unpause() {
        paused = false;
    }

    /** Refuses new work from now on. */
    public void leave() {
        leaving = true;
    }

    /** Answers this fraction of new requests with an error. */
    public void setErrorRate(double fraction) {
        errorRate = fraction;
    }

    /** Returns the orders that were carried out; this engine ignores their fencing tokens. */
    public List<ExecutedOrder> executedOrders() {
        return List.copyOf(executedOrders);
    }

    /** Returns when the last request was accepted, by the clock of {@link System#currentTimeMillis()}. */
    public long lastAcceptedMillis() {
        return lastAcceptedMillis;
    }

    /** Returns the number of requests refused because the engine leaves. */
    public int refusedCount() {
        return refusedCount.get();
    }

    /** Returns whether the engine has died. */
    public boolean isDead() {
        return dead;
    }

    /** Returns the number of requests received so far, those that continue or repeat an answer among them. */
    public long requestCount() {
        return requestCount.get();
    }

    /** Returns the number of first attempts of answers received so far. */
    public long firstAttemptCount() {
        return firstAttemptCount.get();
    }

    /** Returns the number of streams that run now. */
    public int runningCount() {
        return runningCount.get();
    }

    /** Returns the number of tokens generated so far. */
    public long generatedTokens() {
        return generatedTokens.get();
    }

    /** Returns the number of prompt and prefix tokens processed so far. */
    public long prefilledTokens() {
        return prefilledTokens.get();
    }

    private void health(HttpExchange exchange) throws IOException {
        awaitUnpaused();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("incarnation", incarnation);
        body.put("running", runningCount.get());
        body.put("waiting", waitingCount.get());
        body.put("version", version);
        body.put("leaving", leaving);
        adapters.forEach(body.putArray("adapters")::add);
        writeJson(exchange, STATUS_OK, body);
    }

    private void complete(HttpExchange exchange) throws IOException {
        JsonNode request = readJson(exchange);
        requestCount.incrementAndGet();
        if (!request.path("priority").asText().equalsIgnoreCase("resumed")) {
            firstAttemptCount.incrementAndGet();
        }
        if (leaving) {
            refusedCount.incrementAndGet();
            writeJson(exchange, STATUS_UNAVAILABLE, MAPPER.createObjectNode().put("code", "leaving"));
            return;
        }
        if (nextDouble() < errorRate) {
            writeJson(exchange, STATUS_ERROR, MAPPER.createObjectNode().put("code", "fault"));
            return;
        }
        lastAcceptedMillis = System.currentTimeMillis();
        try {
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(STATUS_OK, 0);
            awaitSlot();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return;
        }
        runningCount.incrementAndGet();
        try {
            stream(exchange, request);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            runningCount.decrementAndGet();
            slots.release();
        }
    }

    private void stream(HttpExchange exchange, JsonNode request) throws IOException, InterruptedException {
        String prompt = request.path("prompt").asText();
        JsonNode prefix = request.path("prefix_token_ids");
        int maxTokens = request.path("max_tokens").asInt();
        TokenOracle oracle = new TokenOracle(version, prompt);
        long state = oracle.start();
        for (JsonNode id : prefix) {
            state = oracle.advance(state, id.asInt());
        }
        prefilledTokens.addAndGet(prompt.split(" ").length + prefix.size());
        OutputStream output = exchange.getResponseBody();
        Thread.sleep(settings.firstTokenMillis());
        for (int offset = prefix.size(); offset < maxTokens; offset++) {
            awaitUnpaused();
            if (offset >= TOKENS_BEFORE_CRASH && prompt.contains(CRASHING_TEXT)) {
                die();
            }
            Token token = oracle.successor(state, nextVariant());
            state = oracle.advance(state, token.id());
            generatedTokens.incrementAndGet();
            write(
                    output,
                    MAPPER.createObjectNode()
                            .put("offset", offset)
                            .put("token_id", token.id())
                            .put("text", token.text()));
            Thread.sleep(settings.gapMillis());
        }
        awaitUnpaused();
        write(output, MAPPER.createObjectNode().put("offset", maxTokens).put("finish_reason", "length"));
    }

    private void command(HttpExchange exchange) throws IOException {
        JsonNode command = readJson(exchange);
        String target = command.path("target").asText();
        executedOrders.add(new ExecutedOrder(
                command.path("order_id").asText(), command.path("fencing_token").asLong()));
        switch (command.path("command").asText()) {
            case "load_version" -> version = target;
            case "load_adapter" -> adapters.add(target);
            case "drain" -> leaving = true;
            default -> {
                // Models and roles do not change what this stand-in does.
            }
        }
        writeJson(exchange, STATUS_OK, MAPPER.createObjectNode());
    }

    private synchronized double nextDouble() {
        return random.nextDouble();
    }

    private void awaitSlot() throws InterruptedException {
        waitingCount.incrementAndGet();
        try {
            slots.acquire();
        } finally {
            waitingCount.decrementAndGet();
        }
    }

    private synchronized int nextVariant() {
        return random.nextInt(TokenOracle.VARIANTS);
    }

    private void awaitUnpaused() throws IOException {
        try {
            while (paused && !dead) {
                Thread.sleep(PAUSE_POLL_MILLIS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("engine stopped", stopped);
        }
        if (dead) {
            throw new IOException("engine is dead");
        }
    }

    private static void write(OutputStream output, ObjectNode event) throws IOException {
        output.write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /**
     * An order that was carried out.
     *
     * @param orderId id of the order
     * @param token its fencing token
     */
    public record ExecutedOrder(String orderId, long token) {}
}
