package io.laburnummoor.core.version;

/**
 * A group of attempts under similar conditions; versions are compared only within one stratum.
 *
 * @param route route of the requests: the adapter of a generation, or the path of a plain call
 * @param loadLevel load of the upstream at the start of the attempt
 * @param failureDomain failure domain of the upstream
 */
public record Stratum(String route, LoadLevel loadLevel, String failureDomain) {}
