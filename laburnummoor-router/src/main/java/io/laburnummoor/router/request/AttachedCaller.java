package io.laburnummoor.router.request;

import java.util.List;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.JournaledAnswer;
import io.laburnummoor.core.request.ResumePosition;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.router.connection.CallerStream;
import org.jspecify.annotations.Nullable;

/** The caller that receives the tokens of a generation. Its stream is opened on first use. */
final class AttachedCaller {
    /** Idle time after which a keep-alive is sent; a lost caller is detected after one or two keep-alives. */
    private static final long KEEP_ALIVE_MILLIS = 2_000;

    private final CallerStream stream;
    private final String idempotencyKey;
    private final Clock clock;
    private boolean opened;
    private long keepAliveAtMillis;

    AttachedCaller(CallerStream stream, String idempotencyKey, Clock clock) {
        this.stream = stream;
        this.idempotencyKey = idempotencyKey;
        this.clock = clock;
    }

    CallerStream stream() {
        return stream;
    }

    void open() {
        if (!opened) {
            opened = true;
            postponeKeepAlive();
            stream.open(idempotencyKey);
        }
    }

    void sendTokens(int offset, List<Token> tokens, ResumePosition next) {
        open();
        postponeKeepAlive();
        stream.sendTokens(offset, tokens, next);
    }

    /** Sends the rest of a finished answer from a position; returns false if the answer is not finished. */
    boolean replay(JournaledAnswer found, @Nullable ResumePosition from) {
        FinishReason reason = found.finishReason();
        if (reason == null) {
            return false;
        }
        int offset = from == null ? 0 : from.offset();
        String agentId = from == null ? "" : from.journalAgentId();
        List<Token> all = found.tokens();
        sendTokens(offset, all.subList(offset, all.size()), new ResumePosition(agentId, found.epoch(), all.size()));
        stream.finish(all.size(), reason);
        return true;
    }

    /** Sends a keep-alive if due. Without tokens, only a failing write reveals that the caller has disconnected. */
    void sendKeepAliveIfDue(long nowMillis) {
        if (opened && nowMillis >= keepAliveAtMillis) {
            postponeKeepAlive();
            stream.sendKeepAlive();
        }
    }

    private void postponeKeepAlive() {
        keepAliveAtMillis = clock.nowMillis() + KEEP_ALIVE_MILLIS;
    }
}
