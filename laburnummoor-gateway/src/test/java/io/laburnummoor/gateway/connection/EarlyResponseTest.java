package io.laburnummoor.gateway.connection;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against a request that waits behind the unwritten body of another one, which an engine refused early and does
 * not read: the engine would take the rest of that body for the next request.
 */
final class EarlyResponseTest {
    private static final long AWAIT_SECONDS = 10;
    private static final String REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";

    private final EventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final UpstreamPool pool =
            new UpstreamPool(loop, Clock.monotonic(), (address, byteCount, requestCount) -> {});
    private final RefusingEngine engine = new RefusingEngine();

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

    private void send(UpstreamConnection connection, int bodyBytes) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/sign/1", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        CompletableFuture<Boolean> complete = new CompletableFuture<>();
        loop.execute(() -> connection.send(request, "request-1", new UpstreamListener() {
            @Override
            public void onHead(HttpResponse response) {}

            @Override
            public void onContent(ByteBuf content) {}

            @Override
            public void onComplete() {
                complete.complete(true);
            }

            @Override
            public void onFailure(String cause) {
                complete.completeExceptionally(new IOException(cause));
            }
        }));
        complete.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest(name = "{0} bytes")
    @CsvSource({"1000, true", "33554432, false"})
    void aConnectionWithAnUnwrittenRequestIsNotUsedAgain(int bodyBytes, boolean reused) throws Exception {
        UpstreamConnection first = connect();
        send(first, bodyBytes);

        assertThat(connect() == first, is(reused));
    }

    /** Refuses each request as soon as its head has arrived, and does not read its body. */
    private static final class RefusingEngine {
        private final ServerSocket server = new ServerSocket();
        private final List<Socket> accepted = new CopyOnWriteArrayList<>();

        private RefusingEngine() throws IOException {
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            Thread acceptor = new Thread(this::accept, "refusing-engine");
            acceptor.setDaemon(true);
            acceptor.start();
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
                    InputStream in = socket.getInputStream();
                    StringBuilder head = new StringBuilder();
                    while (head.indexOf("\r\n\r\n") < 0) {
                        head.append((char) in.read());
                    }
                    socket.getOutputStream().write(REFUSAL.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException closed) {
                // The test has ended.
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
