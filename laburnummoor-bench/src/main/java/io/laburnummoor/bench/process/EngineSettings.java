package io.laburnummoor.bench.process;

/**
 * Behaviour of a stand-in engine.
 *
 * @param version upstream version that it reports
 * @param firstTokenMillis time to the first token of an attempt
 * @param gapMillis time between tokens
 * @param seed seed of its random choices
 */
public record EngineSettings(String version, long firstTokenMillis, long gapMillis, long seed) {}
