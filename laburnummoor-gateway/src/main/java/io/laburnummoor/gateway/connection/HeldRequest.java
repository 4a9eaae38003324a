package io.laburnummoor.gateway.connection;

import java.util.Map;

import io.laburnummoor.core.process.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Memory of a caller's request from its head until its response is queued, counted against the budget of the process.
 * The bytes of the body are counted until the last attempt that sends them no longer needs them. Confined to the event
 * loop of its connection.
 */
final class HeldRequest {
    /** Memory of a small head with its session and attempts. */
    private static final int HEAD_BYTES = 4_096;
    /** Memory of a header line besides its characters. */
    private static final int HEADER_LINE_BYTES = 160;

    private final BufferBudget budget;
    private final HttpRequest head;
    private final long arrivedAtMillis;
    private final ResponseBuffer buffer;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long headBytes;
    private boolean released;

    /** Creates a request of which the head has arrived. */
    HeldRequest(BufferBudget budget, HttpRequest head, long arrivedAtMillis) {
        this.budget = budget;
        this.head = head;
        this.arrivedAtMillis = arrivedAtMillis;
        this.buffer = new ResponseBuffer(budget, Integer.MAX_VALUE);
    }

    /** Returns about how many bytes of memory a head takes. */
    static long headBytesOf(HttpRequest head) {
        long bytes = HEAD_BYTES + head.uri().length();
        for (Map.Entry<String, String> each : head.headers()) {
            bytes +=
                    HEADER_LINE_BYTES + each.getKey().length() + each.getValue().length();
        }
        return bytes;
    }

    /** Reserves the memory of the head; returns whether the budget has it. */
    boolean reserveHead() {
        long bytes = headBytesOf(head);
        if (!budget.tryReserve(0, bytes)) {
            return false;
        }
        headBytes = bytes;
        return true;
    }

    /** Appends bytes to the body; returns false if the budget does not have them. */
    boolean append(ByteBuf content) {
        return buffer.append(content);
    }

    /** Ends the body, of which all bytes have arrived. */
    void complete() {
        body = buffer.detach();
    }

    HttpRequest head() {
        return head;
    }

    /** Returns the body, empty before it is complete; valid until {@link #release}. */
    ByteBuf body() {
        return body;
    }

    int bodyBytes() {
        return buffer.size();
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    boolean isReleased() {
        return released;
    }

    /** Returns the memory to the budget; further calls have no effect. */
    void release() {
        if (!released) {
            released = true;
            buffer.release();
            body.release();
            budget.release(headBytes);
        }
    }
}
