package io.laburnummoor.core.connection;

/**
 * Crash of an upstream while a request was running on it.
 *
 * @param upstreamId name of the upstream
 * @param crashedAtMillis wall-clock time of the crash
 * @param isolated whether it was the only request on the upstream
 */
public record CrashRecord(String upstreamId, long crashedAtMillis, boolean isolated) {}
