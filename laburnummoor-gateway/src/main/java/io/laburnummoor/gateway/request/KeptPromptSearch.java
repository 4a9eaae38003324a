package io.laburnummoor.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.connection.InstanceState;
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
 * Asks engines which prompts they keep. A caller that resumes a stream has lost its router, and with it what is known
 * of the engine that has read the prompt; asking all engines costs far less than reading the prompt again. Confined to
 * one event loop.
 */
final class KeptPromptSearch {
    /** Answers take some milliseconds; an engine that is silent for longer is not a good choice anyway. */
    private static final long WAIT_MILLIS = 100;
    /** Bounds the questions of one request on large fleets. */
    private static final int MAX_ASKED = 64;

    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private final GatewayContext context;
    private final EventLoop loop;
    private final UpstreamPool pool;
    private final Runnable whenDone;
    private final List<Question> open = new ArrayList<>();
    private @Nullable ScheduledFuture<?> timer;
    private int keptParts;

    KeptPromptSearch(GatewayContext context, EventLoop loop, UpstreamPool pool, Runnable whenDone) {
        this.context = context;
        this.loop = loop;
        this.pool = pool;
        this.whenDone = whenDone;
    }

    /** Asks those engines of a service of which it is not known, and calls back once. */
    void start(String service, String requestId) {
        long now = context.clock().nowMillis();
        for (InstanceState each : context.state().instances().ofService(service)) {
            if (open.size() < MAX_ASKED
                    && each.isInService(now)
                    && !each.isEjected(now)
                    && !each.isPrefixCacheKnown(now)) {
                open.add(new Question(each));
            }
        }
        int asked = open.size();
        if (asked == 0) {
            whenDone.run();
            return;
        }
        timer = loop.schedule(() -> finish(requestId, asked), WAIT_MILLIS, TimeUnit.MILLISECONDS);
        for (Question each : List.copyOf(open)) {
            each.ask(() -> {
                if (open.remove(each) && open.isEmpty()) {
                    finish(requestId, asked);
                }
            });
        }
    }

    private void finish(String requestId, int asked) {
        if (timer == null) {
            return;
        }
        timer.cancel(false);
        timer = null;
        context.log()
                .line("kept_prompts_asked")
                .text("request", requestId)
                .number("asked", asked)
                .number("unanswered", open.size())
                .number("kept_parts", keptParts)
                .write();
        List.copyOf(open).forEach(Question::cancel);
        open.clear();
        whenDone.run();
    }

    /** The question to one engine. */
    private final class Question implements UpstreamListener {
        private final InstanceState target;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Runnable answered = () -> {};
        private @Nullable UpstreamConnection connection;
        private boolean readable;
        private boolean cancelled;

        private Question(InstanceState target) {
            this.target = target;
        }

        private void ask(Runnable whenAnswered) {
            answered = whenAnswered;
            pool.connect(target.instance(), made -> {
                if (made == null) {
                    answered.run();
                } else if (cancelled) {
                    made.becameIdle();
                } else {
                    connection = made;
                    made.send(context.prompts().question(target.instance()), this);
                }
            });
        }

        private void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel();
            }
        }

        @Override
        public void onHead(HttpResponse response) {
            readable = response.status().equals(HttpResponseStatus.OK);
        }

        @Override
        public void onContent(ByteBuf content) {
            byte[] bytes = new byte[content.readableBytes()];
            content.getBytes(content.readerIndex(), bytes);
            body.writeBytes(bytes);
            readable &= body.size() <= MAX_ANSWER_BYTES;
        }

        @Override
        public void onComplete() {
            connection = null;
            if (readable) {
                record();
            }
            answered.run();
        }

        private void record() {
            try {
                Set<String> keys = context.prompts().decode(body.toByteArray());
                keptParts += keys.size();
                target.recordPrefixCache(keys, context.clock().nowMillis());
            } catch (IllegalArgumentException malformed) {
                context.log()
                        .line("kept_prompts_not_read")
                        .text("upstream", target.instance().id())
                        .text("error", malformed.getMessage())
                        .write();
            }
        }

        @Override
        public void onBroken(String cause) {
            connection = null;
            answered.run();
        }
    }
}
