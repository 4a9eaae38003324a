package io.laburnummoor.core.connection;

/**
 * An incarnation of an upstream that is known to have ended because another incarnation answered at its address.
 *
 * @param upstreamId id of the upstream
 * @param startedAtMillis wall-clock start time of the incarnation by the upstream's own clock; 0 if unknown
 */
public record EndedIncarnation(String upstreamId, long startedAtMillis) {
    /** Returns the ended incarnation that an entry of the platform's list describes. */
    public static EndedIncarnation of(UpstreamInstance instance) {
        return new EndedIncarnation(instance.id(), instance.startedAtMillis());
    }
}
