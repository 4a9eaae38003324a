package io.laburnummoor.wire.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.wire.process.JsonHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against a broken response that the clients of the stand-alone router report as a complete one. */
final class BrokenResponseTest {
    private static final long CALL_SECONDS = 5;
    private static final int TIMEOUT_MILLIS = 2_000;
    /** More than the kernel takes for a connection on loopback. */
    private static final int MAX_KERNEL_BYTES = 16 << 20;
    /** Longer than a client takes to read what the server has written. */
    private static final long READ_MILLIS = 50;

    private static final String NONE = "no response";
    private static final String GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";

    private final JsonHttp json = new JsonHttp(TIMEOUT_MILLIS);
    private final PlainServiceClient plain = new PlainServiceClient();

    @AfterEach
    void stop() {
        plain.stop();
        json.stop();
    }

    private String callJson(int port, byte[] body) {
        URI address = URI.create("http://127.0.0.1:" + port + "/1");
        String text = new String(body, StandardCharsets.US_ASCII);
        try {
            JsonHttp.Reply reply = json.exchange("POST", address, JsonNodeFactory.instance.textNode(text));
            return reply.status() + " " + reply.body().asText();
        } catch (IOException failure) {
            return NONE;
        }
    }

    private String callPlain(int port, byte[] body, boolean idempotent) throws Exception {
        RecordedPlainCall call = new RecordedPlainCall("never sent", NONE);
        plain.start();
        plain.send(
                new Upstream("e-1", "desk", "niseko", "127.0.0.1", port, 1, false),
                new PlainRequest("POST", "/1", Map.of(), body),
                idempotent,
                TIMEOUT_MILLIS,
                call);
        return call.await(CALL_SECONDS);
    }

    private String call(String client, int port, int bodyBytes) throws Exception {
        byte[] body = "x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
        return client.equals("json") ? callJson(port, body) : callPlain(port, body, client.equals("idempotent"));
    }

    static Stream<Arguments> statuses() {
        return Stream.of("000", "099", "600", "999", "1000", "-200", "+200", "0200", "20")
                .flatMap(status -> Stream.of("idempotent", "single").map(client -> Arguments.of(client, status)));
    }

    @ParameterizedTest(name = "{0}, status {1}")
    @MethodSource("statuses")
    void aStatusOutOfRangeIsNoResponse(String client, String status) throws Exception {
        try (ScriptedServer server = new ScriptedServer(GOOD.replace("200", status), Ending.CLOSED_AFTER_READ)) {
            assertThat(call(client, server.port(), 1), is(NONE));
        }
    }

    static Stream<Arguments> endings() {
        return Stream.of("json", "idempotent", "single")
                .flatMap(client -> Stream.of(1, 4 << 20, 32 << 20).flatMap(bytes -> Arrays.stream(Ending.values())
                        // Bytes that the kernel has taken may have been read or not.
                        .filter(ending -> !ending.unread || bytes > MAX_KERNEL_BYTES)
                        .map(ending -> Arguments.of(client, bytes, ending))));
    }

    @ParameterizedTest(name = "{0}, {1} bytes, {2}")
    @MethodSource("endings")
    void aResponseWithoutLengthIsCompleteOnlyAfterAnOrderlyEnd(String client, int bodyBytes, Ending ending)
            throws Exception {
        try (ScriptedServer server = new ScriptedServer("HTTP/1.1 200 OK\r\n\r\n1", ending)) {
            assertThat(call(client, server.port(), bodyBytes), is(ending == Ending.CLOSED_AFTER_READ ? "200 1" : NONE));
        }
    }

    /** The rows that {@code KNOWN-RED.txt} names: the kernel has taken the upload, and a reset follows the end. */
    @Tag("known-red")
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"json", "idempotent", "single"})
    void aResponseIsNotCompleteIfAResetFollowsItsEnd(String client) throws Exception {
        aResponseWithoutLengthIsCompleteOnlyAfterAnOrderlyEnd(client, 1, Ending.CLOSED_UNREAD);
    }

    /** How the server ends a connection on which it has responded. */
    private enum Ending {
        RESET(false),
        /** Without a reset as long as the peer has not read the end. */
        CLOSED_UNREAD(true),
        HALF_CLOSED(true),
        CLOSED_AFTER_READ(false);

        private final boolean unread;

        Ending(boolean unread) {
            this.unread = unread;
        }
    }

    /** Reads the head of one request, writes a text and ends the connection. */
    private static final class ScriptedServer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final String response;
        private final Ending ending;

        private ScriptedServer(String response, Ending ending) throws IOException {
            this.response = response;
            this.ending = ending;
            Thread thread = new Thread(this::serve, "scripted-server");
            thread.setDaemon(true);
            thread.start();
        }

        private int port() {
            return server.getLocalPort();
        }

        private void serve() {
            try (Socket socket = server.accept()) {
                InputStream in = socket.getInputStream();
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append((char) in.read());
                }
                if (ending == Ending.CLOSED_AFTER_READ) {
                    in.readNBytes(Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: |\r.*", "")));
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(READ_MILLIS);
                if (ending == Ending.HALF_CLOSED) {
                    socket.shutdownOutput();
                    Thread.sleep(TIMEOUT_MILLIS);
                }
                socket.setSoLinger(ending == Ending.RESET, 0);
            } catch (IOException | InterruptedException ended) {
                // The client or the test has ended.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
