package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of a rollout from one version of a service to another.
 *
 * @param name name of the rollout
 * @param service name of the service
 * @param fromVersion version that serves before the rollout
 * @param toVersion version that serves after it
 * @param completeByMillis deadline of the rollout, in milliseconds since 1970-01-01 UTC
 * @param routes routes that the rollout covers, empty for all
 * @param maxErrorRateIncrease greatest share of requests, from 0 to 1, that may fail in addition to the old version's
 * @param maxSlowdownRatio greatest ratio of the new version's latencies to the old version's
 */
public record RolloutDeclaration(
        String name,
        String service,
        String fromVersion,
        String toVersion,
        long completeByMillis,
        List<String> routes,
        double maxErrorRateIncrease,
        double maxSlowdownRatio) {}
