package io.laburnummoor.core.request;

/**
 * Identity of one request: the organisation and the idempotency key that its caller chose.
 *
 * @param organisation name of the organisation, which many callers may share
 * @param key idempotency key, unique within the organisation
 */
public record RequestId(String organisation, String key) {
    @Override
    public String toString() {
        return organisation + "/" + key;
    }
}
