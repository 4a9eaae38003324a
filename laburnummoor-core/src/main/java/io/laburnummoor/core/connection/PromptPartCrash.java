package io.laburnummoor.core.connection;

import io.laburnummoor.core.process.RendezvousHash;

/**
 * Crash of an upstream while a request with a certain prompt part waited there for its first output.
 *
 * @param incarnationHash hash of the id and start time of the upstream's process
 * @param crashedAtMillis wall-clock time of the crash
 * @param requestHash hash of the request, the same when the caller repeats it
 */
public record PromptPartCrash(long incarnationHash, long crashedAtMillis, long requestHash) {
    /** Returns the crash of an upstream during a request with the given fingerprint. */
    public static PromptPartCrash of(UpstreamInstance instance, long crashedAtMillis, String fingerprint) {
        return new PromptPartCrash(
                RendezvousHash.hash(instance.id() + "/" + instance.startedAtMillis()),
                crashedAtMillis,
                RendezvousHash.hash(fingerprint));
    }
}
