package io.laburnummoor.core.request;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/** The connection to one agent that keeps journals. No method blocks; a null reply means that the agent is silent. */
public interface JournalAgent {
    /** Returns the id of the agent. */
    String id();

    /** Returns whether the agent's failure domain is another one than the router's. */
    boolean isInOtherFailureDomain();

    /** Reads an entry. */
    void read(RequestId id, Consumer<@Nullable JournalReply> replyHandler);

    /**
     * Becomes the writer of an entry and reads it in one step, so that the writer before can append nothing behind what
     * is read. A finished entry is read only.
     */
    void takeOver(RequestId id, long epoch, String writer, Consumer<@Nullable JournalReply> replyHandler);

    /** Opens an entry with all that the writer knows. */
    void open(JournalOpenRequest opening, Consumer<@Nullable JournalReply> replyHandler);

    /** Appends tokens and, unless the reason is null, the end; without both it renews the entry. */
    void append(JournalAppend append, JournalListener listener);
}
