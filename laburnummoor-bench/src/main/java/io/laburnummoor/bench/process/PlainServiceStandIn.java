package io.laburnummoor.bench.process;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

/**
 * A stand-in for a plain service: counts runs by idempotency key and can drop a call before or after it ran, pause,
 * refuse and die.
 */
public final class PlainServiceStandIn extends HttpStandIn {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long PAUSE_POLL_MILLIS = 5;

    private final String id;
    private final RunLedger ledger;
    private final long incarnation = System.nanoTime() & Long.MAX_VALUE;
    private final AtomicInteger dropsBeforeRun = new AtomicInteger();
    private final AtomicInteger dropsAfterRun = new AtomicInteger();
    private final AtomicInteger receivedCount = new AtomicInteger();
    private volatile boolean paused;
    private volatile boolean refusing;
    private volatile long healthDelayMillis;

    /** Creates a service; port 0 takes a free port. */
    public PlainServiceStandIn(String host, int port, String id, RunLedger ledger) {
        super(host, port);
        this.id = id;
        this.ledger = ledger;
        route("/health", this::health);
        route("/", this::call);
    }

    /** Closes the connections of the next calls before they run. */
    public void dropBeforeRun(int count) {
        dropsBeforeRun.set(count);
    }

    /** Closes the connections of the next calls after they ran. */
    public void dropAfterRun(int count) {
        dropsAfterRun.set(count);
    }

    /** Holds calls until {@link #unpause()}; their connections stay open. */
    public void pause() {
        paused = true;
    }

    /** Goes on after a pause. */
    public void unpause() {
        paused = false;
    }

    /** Answers calls with status 503 without running them, or ends that. */
    public void setRefusing(boolean isRefusing) {
        refusing = isRefusing;
    }

    /** Delays each health response. */
    public void setHealthDelay(long delayMillis) {
        healthDelayMillis = delayMillis;
    }

    /** Returns the number of calls that have been received, whether they ran or not. */
    public int receivedCount() {
        return receivedCount.get();
    }

    private void health(HttpExchange exchange) throws IOException {
        sleep(healthDelayMillis);
        ObjectNode body = MAPPER.createObjectNode();
        body.put("incarnation", incarnation).put("running", 0).put("waiting", 0);
        body.put("version", "plain").put("leaving", false);
        body.putArray("adapters");
        writeJson(exchange, STATUS_OK, body);
    }

    private void call(HttpExchange exchange) throws IOException {
        receivedCount.incrementAndGet();
        exchange.getRequestBody().readAllBytes();
        if (refusing) {
            writeJson(exchange, STATUS_UNAVAILABLE, MAPPER.createObjectNode().put("code", "refused"));
            return;
        }
        awaitUnpaused();
        if (takeOne(dropsBeforeRun)) {
            return;
        }
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        String receipt = key == null ? id : ledger.run(key, id);
        if (takeOne(dropsAfterRun)) {
            return;
        }
        writeJson(exchange, STATUS_OK, MAPPER.createObjectNode().put("receipt", receipt));
    }

    private void awaitUnpaused() throws IOException {
        while (paused) {
            sleep(PAUSE_POLL_MILLIS);
        }
    }

    private static void sleep(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("service stopped", stopped);
        }
    }

    private static boolean takeOne(AtomicInteger count) {
        return count.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
