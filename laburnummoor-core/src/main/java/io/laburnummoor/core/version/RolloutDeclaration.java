package io.laburnummoor.core.version;

import java.util.List;

/**
 * Declaration of a rollout from one upstream version to another.
 *
 * @param name name of the rollout; must not be reused for another one
 * @param service service whose version changes
 * @param fromVersion version that serves before the rollout
 * @param toVersion version that serves after the rollout
 * @param completeByMillis wall-clock time by which the new version is to have all traffic
 * @param routes routes that are evaluated separately; all others are evaluated together
 * @param maxErrorRateIncrease increase of the error rate that counts as bad, as a fraction of requests
 * @param maxSlowdownRatio ratio of latencies, new to old, that counts as bad
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
