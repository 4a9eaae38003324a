package io.laburnummoor.core.request;

/**
 * One part of a generation's prompt. Engines cache the prefix of a prompt that they have processed, and process a part
 * again unless they hold it and all parts before it.
 *
 * @param key model and content of the part; equal for all requests that share it
 * @param tokens size of the part
 */
public record PromptPart(String key, long tokens) {}
