package io.laburnummoor.core.request;

import java.util.List;

/**
 * One attempt to generate the rest of an answer.
 *
 * @param binding service, version, adapter and seed
 * @param prompt the caller's prompt
 * @param prefixTokenIds ids of the answer's tokens that are already accepted
 * @param maxTokens maximum number of tokens of the whole answer
 * @param temperature sampling temperature
 * @param priority priority class
 */
public record EngineRequest(
        Binding binding,
        String prompt,
        List<Integer> prefixTokenIds,
        int maxTokens,
        double temperature,
        Priority priority) {}
