package io.laburnummoor.core.connection;

/**
 * A crash of an upstream while a request ran on it.
 *
 * @param upstreamId name of the upstream
 * @param crashedAtMillis wall-clock time of the crash
 * @param isolated whether the request ran there alone
 */
public record CrashRecord(String upstreamId, long crashedAtMillis, boolean isolated) {}
