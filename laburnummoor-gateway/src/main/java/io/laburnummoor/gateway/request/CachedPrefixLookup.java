package io.laburnummoor.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.gateway.connection.ResponseBuffer;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.connection.UpstreamListener;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Queries engines for the prompt prefixes that they have cached. A caller that resumes a stream has lost its router,
 * which knew the engine that processed the prompt; querying all engines costs far less than processing the prompt
 * again. Confined to one event loop.
 */
final class CachedPrefixLookup {
    /** Responses take some milliseconds; an engine that needs longer is not a good choice anyway. */
    private static final long TIMEOUT_MILLIS = 100;
    /** Limits the queries for one request in large fleets. */
    private static final int MAX_ENGINES = 64;

    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final GatewayContext context;
    private final EventLoop loop;
    private final UpstreamPool pool;
    private final Runnable whenDone;
    private final List<EngineQuery> openQueries = new ArrayList<>();
    private @Nullable ScheduledFuture<?> timer;
    private int cachedParts;

    CachedPrefixLookup(GatewayContext context, EventLoop loop, UpstreamPool pool, Runnable whenDone) {
        this.context = context;
        this.loop = loop;
        this.pool = pool;
        this.whenDone = whenDone;
    }

    /** Queries the engines of a service whose cached prefixes are not known, and calls back once. */
    void start(String service, String requestId) {
        long now = context.clock().nowMillis();
        for (InstanceState each : context.state().instances().ofService(service)) {
            if (openQueries.size() < MAX_ENGINES
                    && each.acceptsRequests(now)
                    && !each.isEjected(now)
                    && !each.isPrefixCacheKnown(now)) {
                openQueries.add(new EngineQuery(each));
            }
        }
        int queryCount = openQueries.size();
        if (queryCount == 0) {
            whenDone.run();
            return;
        }
        timer = loop.schedule(() -> finish(requestId, queryCount), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        for (EngineQuery each : List.copyOf(openQueries)) {
            each.send(() -> {
                if (openQueries.remove(each) && openQueries.isEmpty()) {
                    finish(requestId, queryCount);
                }
            });
        }
    }

    private void finish(String requestId, int queryCount) {
        if (timer == null) {
            return;
        }
        timer.cancel(false);
        timer = null;
        context.log()
                .line("kept_prompts_asked")
                .text("request", requestId)
                .number("asked", queryCount)
                .number("unanswered", openQueries.size())
                .number("kept_parts", cachedParts)
                .write();
        List.copyOf(openQueries).forEach(EngineQuery::cancel);
        openQueries.clear();
        whenDone.run();
    }

    /** The query to one engine. */
    private final class EngineQuery implements UpstreamListener {
        private final InstanceState target;
        private final ResponseBuffer body = new ResponseBuffer(context.state().bufferBudget(), MAX_RESPONSE_BYTES);
        private Runnable callback = () -> {};
        private @Nullable UpstreamConnection connection;
        private boolean readable;
        private boolean cancelled;

        private EngineQuery(InstanceState target) {
            this.target = target;
        }

        private void send(Runnable whenAnswered) {
            callback = whenAnswered;
            pool.connect(target.instance(), null, opened -> {
                if (opened == null) {
                    callback.run();
                } else if (cancelled) {
                    opened.returnToPool();
                } else {
                    connection = opened;
                    opened.send(context.cachedPrefixCodec().encodeQuery(target.instance()), null, this);
                }
            });
        }

        private void cancel() {
            cancelled = true;
            body.release();
            closeConnection();
        }

        private void closeConnection() {
            if (connection != null) {
                connection.cancel();
            }
        }

        @Override
        public void onHead(HttpResponse response) {
            UpstreamResponseHead head = context.headerCodec().decodeUpstreamResponse(response);
            UpstreamConnection used = connection;
            if (used != null && used.hasAnswered(head.attemptId())) {
                skipLateResponse(used, head.attemptId());
                return;
            }
            readable = response.status().equals(HttpResponseStatus.OK);
            UpstreamNotices.record(head, target, context.clock().nowMillis(), context.log());
        }

        /** Skips a second response to a request that the connection has carried before, or gives up. */
        private void skipLateResponse(UpstreamConnection used, @Nullable String requestId) {
            if (!used.skipLateResponse(requestId)) {
                cancel();
                callback.run();
            }
        }

        @Override
        public void onContent(ByteBuf content) {
            if (!body.append(content)) {
                cancel();
                callback.run();
            }
        }

        @Override
        public void onComplete() {
            if (readable) {
                record();
            }
            body.release();
            connection = null;
            callback.run();
        }

        private void record() {
            try {
                Set<String> keys = context.cachedPrefixCodec().decode(body.toBytes());
                cachedParts += keys.size();
                target.recordPrefixCache(keys, context.clock().nowMillis());
            } catch (IllegalArgumentException malformed) {
                // It may be a late copy of an earlier response, and the real one would meet the next request.
                closeConnection();
                context.log()
                        .line("kept_prompts_not_read")
                        .text("upstream", target.instance().id())
                        .text("error", malformed.getMessage())
                        .write();
            }
        }

        @Override
        public void onFailure(String cause) {
            body.release();
            connection = null;
            callback.run();
        }
    }
}
