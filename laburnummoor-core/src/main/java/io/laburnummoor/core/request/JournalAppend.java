package io.laburnummoor.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A change to an open journal entry.
 *
 * @param id identity of the request
 * @param epoch epoch of the writer
 * @param offset offset of the first token
 * @param tokens tokens to append, may be empty
 * @param finishReason why the answer ended, or null while it runs
 * @param callerAttached whether a caller is attached to the writer
 */
public record JournalAppend(
        RequestId id,
        long epoch,
        int offset,
        List<Token> tokens,
        @Nullable FinishReason finishReason,
        boolean callerAttached) {}
