package io.laburnummoor.core.request;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * The connection to one agent that stores journals. No method blocks. Replies arrive on the thread of the connection; a
 * null reply means that the agent did not answer.
 */
public interface JournalAgent {
    String id();

    /** Returns whether the agent is in a different failure domain than the router. */
    boolean isInOtherFailureDomain();

    void read(RequestId id, Consumer<@Nullable JournalReply> replyHandler);

    /**
     * Atomically becomes the writer of an entry and reads it, so that the previous writer cannot append after what was
     * read. A finished entry is only read and keeps its writer.
     */
    void takeOver(RequestId id, long epoch, String writer, Consumer<@Nullable JournalReply> replyHandler);

    /** Opens an entry with the writer's complete state. */
    void open(JournalOpenRequest openRequest, Consumer<@Nullable JournalReply> replyHandler);

    /** Appends tokens and, unless the finish reason is null, the end; an append with neither renews the entry. */
    void append(JournalAppend append, JournalListener listener);
}
