package io.laburnummoor.core.connection;

import java.util.List;
import java.util.Set;

import io.laburnummoor.core.request.PromptPart;

/**
 * Prompt parts that an upstream reported in its prefix cache.
 *
 * @param keys keys of the parts
 * @param reportedAtMillis time of the report
 */
public record PrefixCacheContents(Set<String> keys, long reportedAtMillis) {
    /** Age at which other prompts may have evicted the reported ones. */
    static final long VALID_MILLIS = 3_000;

    /** Contents of an upstream that has not reported any. */
    static final PrefixCacheContents UNKNOWN = new PrefixCacheContents(Set.of(), Long.MIN_VALUE / 2);

    /** Creates contents with a copy of the keys. */
    public PrefixCacheContents {
        keys = Set.copyOf(keys);
    }

    /** Returns whether the report is recent enough to be used. */
    boolean isValid(long nowMillis) {
        return nowMillis - reportedAtMillis < VALID_MILLIS;
    }

    /** Returns the length in tokens of the longest cached prefix of a prompt. */
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
