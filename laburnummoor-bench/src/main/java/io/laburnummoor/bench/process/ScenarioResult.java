package io.laburnummoor.bench.process;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The outcome of a scenario.
 *
 * @param violations number of answers or calls that broke a promise
 * @param pass whether every stated bound was kept
 * @param figures measured figures with their units in the names
 */
record ScenarioResult(long violations, boolean pass, ObjectNode figures) {
    /** Returns the line that the bench prints. */
    String toLine(String scenario, long seed) {
        ObjectNode line = HttpStandIn.MAPPER.createObjectNode();
        line.put("scenario", scenario).put("seed", seed);
        line.put("violations", violations).put("pass", pass);
        line.setAll(figures);
        return line.toString();
    }
}
