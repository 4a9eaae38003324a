package io.laburnummoor.core.connection;

import java.util.Map;

/**
 * What one router has announced about its demand.
 *
 * @param router name of the router
 * @param sequence increases with each announcement of the router, also over its restarts
 * @param demandByKey number of running and waiting requests by the hash of an organisation or service
 */
public record RouterDemand(String router, long sequence, Map<Long, Integer> demandByKey) {}
