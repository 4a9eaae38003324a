package io.laburnummoor.core.connection;

import java.util.List;
import java.util.Set;

import io.laburnummoor.core.request.PromptPart;

/**
 * The prompt parts that an upstream kept when it was asked.
 *
 * @param keys keys of the parts
 * @param reportedAtMillis time of the answer
 */
public record PrefixCacheContents(Set<String> keys, long reportedAtMillis) {
    /** Age at which other prompts may have taken the place of those listed. */
    static final long VALID_MILLIS = 3_000;

    /** What is known of an upstream that was never asked. */
    static final PrefixCacheContents UNKNOWN = new PrefixCacheContents(Set.of(), Long.MIN_VALUE / 2);

    /** Copies the keys. */
    public PrefixCacheContents {
        keys = Set.copyOf(keys);
    }

    /** Returns whether the answer still tells what the upstream keeps. */
    boolean isValid(long nowMillis) {
        return nowMillis - reportedAtMillis < VALID_MILLIS;
    }

    /** Returns the tokens at the start of a prompt that need not be read again. */
    long cachedPrefixTokens(List<PromptPart> prompt) {
        long tokens = 0;
        for (PromptPart each : prompt) {
            if (!keys.contains(each.key())) {
                return tokens;
            }
            tokens += each.tokens();
        }
        return tokens;
    }
}
