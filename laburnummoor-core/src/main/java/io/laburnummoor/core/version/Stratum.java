package io.laburnummoor.core.version;

/**
 * A group of attempts that are alike enough to compare versions within it.
 *
 * @param route route of the requests: the adapter of a generation, or the path of a plain call
 * @param loadLevel load of the upstream when the attempt started
 * @param failureDomain failure domain of the upstream
 */
public record Stratum(String route, LoadLevel loadLevel, String failureDomain) {}
