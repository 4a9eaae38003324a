package io.laburnummoor.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A journaled answer as a router reads it from an agent.
 *
 * @param epoch epoch of its writer
 * @param writer name of the writing router
 * @param binding what the answer is bound to
 * @param bodyDigest digest of the request's body
 * @param tokens journaled tokens
 * @param finishReason why the answer ended, or null while it runs
 * @param writerAlive whether the writer has been in contact with the agent lately
 * @param callerAttached whether a caller is attached to the writer
 */
public record FoundAnswer(
        long epoch,
        String writer,
        Binding binding,
        String bodyDigest,
        List<Token> tokens,
        @Nullable FinishReason finishReason,
        boolean writerAlive,
        boolean callerAttached) {}
