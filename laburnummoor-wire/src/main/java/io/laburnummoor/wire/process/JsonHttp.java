package io.laburnummoor.wire.process;

import javax.net.ssl.SSLSocket;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.laburnummoor.core.Service;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.ssl.DefaultClientTlsStrategy;
import org.apache.hc.client5.http.ssl.TlsSocketStrategy;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Blocking HTTP calls with JSON bodies, used towards the platform and the upstream's health page. The client closes all
 * its connections for good after an {@link Error} in one call, so it is replaced then.
 */
public final class JsonHttp implements Service {
    private static final Logger LOGGER = Logger.getLogger(JsonHttp.class);
    private static final int MAX_CONNECTIONS = 64;
    /** Several times the largest value that the platform stores, and a fraction of the heap. */
    private static final int MAX_BODY_BYTES = 12 << 20;

    private final ObjectMapper mapper = new ObjectMapper();
    private final int timeoutMillis;
    private final AtomicReference<@Nullable CloseableHttpClient> client = new AtomicReference<>();

    /** Creates a client whose connects and reads fail after the given timeout. */
    public JsonHttp(int timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
        this.client.set(newClient());
    }

    private CloseableHttpClient newClient() {
        ConnectionConfig connectionConfig = ConnectionConfig.custom()
                .setConnectTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .setSocketTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .build();
        return HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(connectionConfig)
                        .setTlsSocketStrategy(new LazyTls())
                        .setMaxConnTotal(MAX_CONNECTIONS)
                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setConnectionRequestTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                        .setResponseTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                        .build())
                .disableAutomaticRetries()
                .disableCookieManagement()
                // The default registry reads the list of public domains, which costs time at each start.
                .setDefaultCookieSpecRegistry(name -> null)
                .build();
    }

    /** Runs a call, or replaces the client later, since memory may lack for another one now. */
    private <T> T call(ClientCall<T> call) throws IOException {
        CloseableHttpClient current = client.get();
        if (current == null) {
            client.compareAndSet(null, newClient());
            return call(call);
        }
        try {
            return call.run(current);
        } catch (Error fault) {
            client.compareAndSet(current, null);
            throw fault;
        }
    }

    /** Returns the JSON document at an address. */
    public JsonNode get(URI address) throws IOException {
        return execute(new HttpGet(address));
    }

    /** Sends a JSON document and returns the answer. */
    public JsonNode post(URI address, JsonNode body) throws IOException {
        HttpPost request = new HttpPost(address);
        request.setEntity(new StringEntity(body.toString(), ContentType.APPLICATION_JSON));
        return execute(request);
    }

    /**
     * Sends a JSON document and reads the documents of the answer as they arrive.
     *
     * @param silenceMillis longest time between two documents
     * @param reader returns a result to end the exchange, or null to wait for the next document
     * @return the result, or null if the answer ended or no document arrived in time after the first one
     */
    public <T> @Nullable T postStreaming(URI address, JsonNode body, int silenceMillis, DocumentReader<T> reader)
            throws IOException {
        HttpPost request = new HttpPost(address);
        request.setEntity(new StringEntity(body.toString(), ContentType.APPLICATION_JSON));
        request.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(silenceMillis, TimeUnit.MILLISECONDS)
                .setResponseTimeout(silenceMillis, TimeUnit.MILLISECONDS)
                .build());
        boolean anyRead = false;
        ClassicHttpResponse response = call(open -> open.executeOpen(null, request, null));
        try {
            if (response.getCode() != HttpStatus.SC_OK) {
                throw new IOException("status " + response.getCode() + " from " + request.getRequestUri());
            }
            MappingIterator<JsonNode> documents = mapper.readerFor(JsonNode.class)
                    .readValues(response.getEntity().getContent());
            while (documents.hasNextValue()) {
                T result = reader.read(documents.nextValue());
                anyRead = true;
                if (result != null) {
                    return result;
                }
            }
            return null;
        } catch (SocketTimeoutException silence) {
            if (anyRead) {
                return null;
            }
            throw silence;
        } finally {
            discard(request, response);
        }
    }

    /** Closes the connection first, because closing the answer alone would read on to its end, which never comes. */
    private static void discard(HttpPost request, ClassicHttpResponse response) {
        request.abort();
        try {
            response.close();
        } catch (IOException alreadyClosed) {
            LOGGER.tracef("streamed answer of %s is discarded", request.getRequestUri());
        }
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        CloseableHttpClient current = client.get();
        if (current != null) {
            current.close(CloseMode.GRACEFUL);
        }
    }

    /**
     * Sends a request and returns the answer whatever its status.
     *
     * @param body JSON document to send, or null
     */
    public Reply exchange(String method, URI address, @Nullable JsonNode body) throws IOException {
        HttpUriRequestBase request = new HttpUriRequestBase(method, address);
        if (body != null) {
            request.setEntity(new StringEntity(body.toString(), ContentType.APPLICATION_JSON));
        }
        return call(open -> open.execute(
                request,
                response ->
                        new Reply(response.getCode(), readBounded(request, response), List.of(response.getHeaders()))));
    }

    private JsonNode execute(HttpUriRequestBase request) throws IOException {
        return call(open -> open.execute(request, response -> {
            JsonNode document = readBounded(request, response);
            if (response.getCode() != HttpStatus.SC_OK) {
                throw new IOException("status " + response.getCode() + " from " + request.getRequestUri());
            }
            return document;
        }));
    }

    /**
     * Reads a document up to the limit; an answer that goes on behind it is cut off, since it may have no end. Only the
     * body of a success is a document, that of another status counts as missing.
     */
    private JsonNode readBounded(HttpUriRequestBase request, ClassicHttpResponse response) throws IOException {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            return MissingNode.getInstance();
        }
        // Its array grows with the body, so that small answers take little.
        byte[] bytes = entity.getContentLength() > MAX_BODY_BYTES
                ? null
                : entity.getContent().readNBytes(MAX_BODY_BYTES + 1);
        if (bytes == null || bytes.length > MAX_BODY_BYTES) {
            request.abort();
            throw new OversizedReplyException(request.getRequestUri(), MAX_BODY_BYTES);
        }
        return response.getCode() == HttpStatus.SC_OK ? mapper.readTree(bytes) : MissingNode.getInstance();
    }

    /** A call on the client that is open now. */
    private interface ClientCall<T> {
        T run(CloseableHttpClient open) throws IOException;
    }

    /** Reads the trusted certificates at the first TLS connection only: they cost a tenth of a second of a start. */
    private static final class LazyTls implements TlsSocketStrategy {
        private final AtomicReference<@Nullable TlsSocketStrategy> strategy = new AtomicReference<>();

        @Override
        public SSLSocket upgrade(Socket socket, String target, int port, Object attachment, HttpContext context)
                throws IOException {
            TlsSocketStrategy known = strategy.get();
            if (known == null) {
                known = DefaultClientTlsStrategy.createDefault();
                strategy.set(known);
            }
            return known.upgrade(socket, target, port, attachment, context);
        }
    }

    /** Thrown for an answer whose body is larger than this client reads. */
    public static final class OversizedReplyException extends IOException {
        private static final long serialVersionUID = 1L;

        OversizedReplyException(String target, int maxBytes) {
            super("answer to " + target + " is larger than " + maxBytes + " bytes");
        }
    }

    /**
     * An answer with any status.
     *
     * @param status HTTP status
     * @param body document of a success; missing otherwise
     * @param headers all headers
     */
    public record Reply(int status, JsonNode body, List<Header> headers) {
        /** Returns the value of the first header with a name, or null if there is none. */
        public @Nullable String header(String name) {
            return headers.stream()
                    .filter(each -> each.getName().equalsIgnoreCase(name))
                    .findFirst()
                    .map(Header::getValue)
                    .orElse(null);
        }
    }

    /**
     * Reads one document of a streamed answer.
     *
     * @param <T> result
     */
    public interface DocumentReader<T> {
        /** Returns a result to end the exchange, or null to wait for the next document. */
        @Nullable
        T read(JsonNode document) throws IOException;
    }
}
