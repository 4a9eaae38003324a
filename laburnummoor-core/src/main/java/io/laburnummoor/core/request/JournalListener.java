package io.laburnummoor.core.request;

/** Receives the outcome of appends; called on the thread of the journal connection. */
public interface JournalListener {
    /** The first {@code tokenCount} tokens, and the end if it was sent, are stored. */
    void onAcknowledged(int tokenCount, boolean endAcknowledged);

    /** Another router has become the writer. */
    void onFenced();

    /** The agent did not answer or no longer has the entry. */
    void onLost();
}
