package io.laburnummoor.core.request;

import java.util.Locale;
import java.util.regex.Pattern;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;

/**
 * The idempotency key of a non-idempotent call: a UUIDv7, whose first 48 bits are its issue time.
 *
 * @param text canonical form in lower case, so that two spellings of one UUID are one key
 * @param issuedAtMillis issue time, in wall-clock milliseconds
 */
public record IdempotencyKey(String text, long issuedAtMillis) {
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
    private static final int TIME_HIGH_CHARS = 8;
    private static final int TIME_LOW_START = 9;
    private static final int TIME_LOW_END = 13;
    private static final int HEX_RADIX = 16;

    /**
     * Parses a key.
     *
     * @throws LaburnummoorException with code {@code bad_request} if the text is not a UUIDv7
     */
    public static IdempotencyKey parse(String text) {
        String canonical = text.toLowerCase(Locale.ROOT);
        if (!UUID_V7.matcher(canonical).matches()) {
            throw new LaburnummoorException(
                    ErrorCode.BAD_REQUEST, "Idempotency-Key of a non-idempotent call must be a UUIDv7");
        }
        String time = canonical.substring(0, TIME_HIGH_CHARS) + canonical.substring(TIME_LOW_START, TIME_LOW_END);
        return new IdempotencyKey(canonical, Long.parseLong(time, HEX_RADIX));
    }

    /**
     * Checks that the key is neither issued in the future, beyond the allowed clock difference, nor past its retention.
     *
     * @throws LaburnummoorException with code {@code key_expired} or {@code key_not_yet_valid}
     */
    public void checkIssueTime(long nowMillis, long retentionMillis) {
        if (issuedAtMillis > nowMillis + Clock.MAX_CLOCK_DIFFERENCE_MILLIS) {
            throw new LaburnummoorException(
                    ErrorCode.KEY_NOT_YET_VALID, "the key's issue time is in the future; the call was not run");
        }
        if (issuedAtMillis + retentionMillis <= nowMillis) {
            throw new LaburnummoorException(
                    ErrorCode.KEY_EXPIRED,
                    "the key is older than " + retentionMillis + " ms; whether it was used before is not known");
        }
    }
}
