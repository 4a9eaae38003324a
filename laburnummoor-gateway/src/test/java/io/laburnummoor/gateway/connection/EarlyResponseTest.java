package io.laburnummoor.gateway.connection;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Guards against what an engine can cause that responds before it has read the request. A further request may wait
 * behind the unwritten body, whose rest the engine would take for that request; and a part of a response may be
 * delivered as the whole.
 */
final class EarlyResponseTest {
    private static final long AWAIT_SECONDS = 10;
    private static final String COMPLETE = "complete";
    /** More than the kernel takes for a connection on loopback. */
    private static final int MAX_KERNEL_BYTES = 16 << 20;
    /** Longer than the engine takes to respond and to end the connection. */
    private static final long BUSY_NANOS = 300_000_000;
    /** Longer than the gateway takes to read what the engine has written. */
    private static final long READ_MILLIS = 50;

    private static final String PART = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata:a\n\n";
    private static final String REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";

    private final EventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final UpstreamPool pool =
            new UpstreamPool(loop, Clock.monotonic(), (address, byteCount, requestCount) -> {});
    private final RefusingEngine engine = new RefusingEngine();
    private final CompletableFuture<Boolean> contentReceived = new CompletableFuture<>();

    EarlyResponseTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        engine.close();
        loops.shutdownGracefully(0, 1, TimeUnit.MILLISECONDS);
    }

    private UpstreamConnection connect() throws Exception {
        CompletableFuture<UpstreamConnection> connected = new CompletableFuture<>();
        loop.execute(() -> pool.connect(engine.instance(), null, connected::complete));
        return connected.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends a request and returns the end of its response: {@link #COMPLETE}, or the cause of a failure. */
    private CompletableFuture<String> send(UpstreamConnection connection, int bodyBytes) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/sign/1", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        CompletableFuture<String> end = new CompletableFuture<>();
        loop.execute(() -> connection.send(request, "request-1", new UpstreamListener() {
            @Override
            public void onHead(HttpResponse response) {}

            @Override
            public void onContent(ByteBuf content) {
                contentReceived.complete(true);
            }

            @Override
            public void onComplete() {
                end.complete(COMPLETE);
            }

            @Override
            public void onFailure(String cause) {
                end.complete(cause);
            }
        }));
        return end;
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest(name = "{0} bytes")
    @CsvSource({"1000, true", "33554432, false"})
    void aConnectionWithAnUnwrittenRequestIsNotUsedAgain(int bodyBytes, boolean reused) throws Exception {
        UpstreamConnection first = connect();
        assertThat(await(send(first, bodyBytes)), is(COMPLETE));

        assertThat(connect() == first, is(reused));
    }

    static Stream<Arguments> endings() {
        return Stream.of(1_000, 4 << 20, 32 << 20)
                .flatMap(bytes -> Stream.of(false, true).flatMap(busy -> Arrays.stream(Ending.values())
                        .filter(ending -> ending != Ending.KEPT)
                        // Bytes that the kernel has taken may have been read or not.
                        .filter(ending -> !ending.unread || bytes > MAX_KERNEL_BYTES)
                        .map(ending -> Arguments.of(bytes, ending, busy))));
    }

    /**
     * Guards against a part of a response without a length that is taken for the whole. If the event loop is busy, it
     * learns of a reset by a write that fails, before it has read the part.
     */
    @ParameterizedTest(name = "{0} bytes, {1}, event loop busy: {2}")
    @MethodSource("endings")
    void aResponseWithoutLengthIsCompleteOnlyAfterAnOrderlyEnd(int bodyBytes, Ending ending, boolean busy)
            throws Exception {
        engine.respond(PART, ending);
        UpstreamConnection connection = connect();
        CompletableFuture<String> end = send(connection, bodyBytes);
        if (busy) {
            loop.execute(() -> LockSupport.parkNanos(BUSY_NANOS));
        }

        assertThat(await(end), ending == Ending.CLOSED_AFTER_READ ? is(COMPLETE) : not(COMPLETE));
    }

    /** Guards against a part that is taken for the whole because the process closes its connections when it stops. */
    @Test
    void aResponseWithoutLengthIsNotCompleteWhenTheEventLoopStops() throws Exception {
        engine.respond(PART, Ending.KEPT);
        CompletableFuture<String> end = send(connect(), 1_000);
        await(contentReceived);

        loops.shutdownGracefully(0, 1, TimeUnit.MILLISECONDS);

        assertThat(await(end), is(not(COMPLETE)));
    }

    /** How the engine ends a connection on which it has responded. */
    private enum Ending {
        KEPT(false),
        RESET(false),
        /** An ordinary end, and a reset behind it. */
        CLOSED_UNREAD(false),
        HALF_CLOSED(true),
        CLOSED_AFTER_READ(false);

        private final boolean unread;

        Ending(boolean unread) {
            this.unread = unread;
        }
    }

    /** Responds to each request as soon as its head has arrived, and does not read its body before. */
    private static final class RefusingEngine {
        private final ServerSocket server = new ServerSocket();
        private final List<Socket> accepted = new CopyOnWriteArrayList<>();

        private volatile String response = REFUSAL;
        private volatile Ending ending = Ending.KEPT;

        private RefusingEngine() throws IOException {
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            Thread acceptor = new Thread(this::accept, "refusing-engine");
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void respond(String text, Ending next) {
            response = text;
            ending = next;
        }

        private UpstreamInstance instance() {
            return new UpstreamInstance(
                    "i-1", "desk", "sapporo", "127.0.0.1", server.getLocalPort(), "v1", 8, false, 0, 1, 1);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    accepted.add(socket);
                    serve(socket);
                }
            } catch (IOException | InterruptedException closed) {
                // The test has ended.
            }
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            if (ending == Ending.CLOSED_AFTER_READ) {
                in.readNBytes(Integer.parseInt(head.toString().replaceAll("(?s).*content-length: |\r.*", "")));
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(READ_MILLIS);
            if (ending == Ending.HALF_CLOSED) {
                socket.shutdownOutput();
            } else if (ending != Ending.KEPT) {
                socket.setSoLinger(ending == Ending.RESET, 0);
                socket.close();
            }
        }

        private void close() throws IOException {
            server.close();
            for (Socket each : accepted) {
                each.close();
            }
        }
    }
}
