package io.laburnummoor.bench.process;

/**
 * Behaviour of a stand-in engine.
 *
 * @param version upstream version that it reports
 * @param firstTokenMillis time to the first token of an attempt
 * @param gapMillis time between tokens
 * @param seed seed of its random choices
 * @param slots number of requests that it runs at once; further ones wait in it
 */
public record EngineSettings(String version, long firstTokenMillis, long gapMillis, long seed, int slots) {
    /** Creates settings of an engine that runs any number of requests at once. */
    public EngineSettings(String version, long firstTokenMillis, long gapMillis, long seed) {
        this(version, firstTokenMillis, gapMillis, seed, Integer.MAX_VALUE);
    }
}
