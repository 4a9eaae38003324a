package io.laburnummoor.core.connection;

import java.util.Map;

/**
 * Demand that one router reported.
 *
 * @param router name of the router
 * @param sequence sequence number of the report; increases also across restarts of the router
 * @param demandByKey number of running and waiting requests by the hash of an organisation or service
 */
public record RouterDemand(String router, long sequence, Map<Long, Integer> demandByKey) {}
