package io.laburnummoor.core.request;

import java.util.List;

/**
 * A writer's request to an agent to store its journal entry from now on.
 *
 * @param id identity of the request
 * @param writer name of the writing router
 * @param binding what the answer is bound to
 * @param bodyDigest digest of the request's body
 * @param history epochs of the answer, oldest first; the last one is this writer's
 * @param tokens all accepted tokens
 * @param callerAttached whether a caller is attached to the writer
 */
public record JournalOpenRequest(
        RequestId id,
        String writer,
        Binding binding,
        String bodyDigest,
        List<EpochSpan> history,
        List<Token> tokens,
        boolean callerAttached) {

    /** Returns the epoch of this writer. */
    public long epoch() {
        return history.get(history.size() - 1).epoch();
    }
}
