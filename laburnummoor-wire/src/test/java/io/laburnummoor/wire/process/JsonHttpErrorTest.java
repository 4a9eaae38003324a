package io.laburnummoor.wire.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/** Guards against a process that never reaches the store again after one error of the virtual machine in a call. */
final class JsonHttpErrorTest {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int OK = 200;

    @ParameterizedTest
    @ValueSource(strings = {"get", "post", "exchange", "stream"})
    void callsSucceedAfterAnErrorInOne(String method) throws Exception {
        CountDownLatch firstReceived = new CountDownLatch(1);
        CountDownLatch firstMayEnd = new CountDownLatch(1);
        AtomicInteger requests = new AtomicInteger();
        ExecutorService executor = Executors.newCachedThreadPool();
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(executor);
        server.createContext("/", exchange -> {
            if (requests.incrementAndGet() == 1) {
                firstReceived.countDown();
                awaitQuietly(firstMayEnd);
            }
            respond(exchange);
        });
        server.start();
        URI address = URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/");
        JsonHttp http = new JsonHttp(TIMEOUT_MILLIS);
        try {
            AtomicReference<@Nullable Throwable> failure = new AtomicReference<>();
            Thread caller = new Thread(() -> {
                try {
                    call(http, method, address);
                } catch (Throwable raised) {
                    failure.set(raised);
                }
            });
            caller.start();
            firstReceived.await();
            raiseError(caller);
            firstMayEnd.countDown();
            caller.join();

            assertThat(failure.get(), is(instanceOf(ThreadDeath.class)));
            assertThat(call(http, method, address), is(1));
        } finally {
            http.stop();
            server.stop(0);
            executor.shutdownNow();
        }
    }

    // An error while the client waits for a response cannot be raised in another way.
    @SuppressWarnings({"deprecation", "removal"})
    private static void raiseError(Thread thread) {
        thread.stop();
    }

    private static int call(JsonHttp http, String method, URI address) throws IOException {
        return switch (method) {
            case "get" -> http.get(address).path("n").asInt();
            case "post" -> http.post(address, JsonNodeFactory.instance.objectNode())
                    .path("n")
                    .asInt();
            case "exchange" -> http.exchange("GET", address, null)
                    .body()
                    .path("n")
                    .asInt();
            default -> {
                Integer read = http.postStreaming(
                        address, JsonNodeFactory.instance.objectNode(), TIMEOUT_MILLIS, document -> document.path("n")
                                .asInt());
                yield read == null ? 0 : read;
            }
        };
    }

    private static void respond(HttpExchange exchange) throws IOException {
        byte[] body = "{\"n\":1}".getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(OK, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
