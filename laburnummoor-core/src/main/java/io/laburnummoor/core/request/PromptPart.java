package io.laburnummoor.core.request;

import io.laburnummoor.core.process.RendezvousHash;

/**
 * One part of a generation's prompt. Engines cache the prefix of a prompt that they have processed, and process a part
 * again unless they hold it and all parts before it.
 *
 * @param key model and content of the part; equal for all requests that share it
 * @param tokens size of the part
 */
public record PromptPart(String key, long tokens) {
    /** Callers choose the names of parts; longer ones are shortened, since routers report them to each other. */
    private static final int MAX_KEY_CHARS = 64;

    /** Returns the name under which crashes of a service's upstreams are counted against this part. */
    public String crashKey(String service) {
        String name = service + "/" + key;
        return name.length() <= MAX_KEY_CHARS
                ? name
                : name.substring(0, MAX_KEY_CHARS / 2) + "#" + Long.toHexString(RendezvousHash.hash(name));
    }
}
