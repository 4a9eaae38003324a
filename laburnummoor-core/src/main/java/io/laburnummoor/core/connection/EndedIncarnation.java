package io.laburnummoor.core.connection;

/**
 * One life of an upstream that has ended, as another life answered at its address.
 *
 * @param upstreamId id of the upstream
 * @param startedAtMillis wall-clock time of the life's start by the upstream's own clock; 0 if unknown
 */
public record EndedIncarnation(String upstreamId, long startedAtMillis) {
    /** Returns the life that a list's entry describes. */
    public static EndedIncarnation of(UpstreamInstance instance) {
        return new EndedIncarnation(instance.id(), instance.startedAtMillis());
    }
}
