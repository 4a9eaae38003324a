package io.laburnummoor.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.laburnummoor.core.Service;

/** Base of the stand-ins: a small HTTP server with JSON bodies. */
abstract class HttpStandIn implements Service {
    static final ObjectMapper MAPPER = new ObjectMapper();

    static {
        // Without it each answer waits about 40 ms for a delayed acknowledgement, which would be measured as latency.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });

    static {
        // Without it small writes wait for delayed acknowledgements on connections that are not busy, which made the
        // version with little traffic look slower.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    HttpStandIn(String host, int port) {
        try {
            this.server = HttpServer.create(new InetSocketAddress(host, port), 1_000);
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        server.setExecutor(executor);
    }

    /** Returns the port that this stand-in listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void start() {
        server.start();
    }

    @Override
    public void stop() {
        server.stop(0);
        executor.shutdownNow();
    }

    final void route(String path, Handler handler) {
        server.createContext(path, exchange -> {
            try (exchange) {
                handler.handle(exchange);
            }
        });
    }

    static JsonNode readJson(HttpExchange exchange) throws IOException {
        return MAPPER.readTree(exchange.getRequestBody().readAllBytes());
    }

    static void writeJson(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }
}
