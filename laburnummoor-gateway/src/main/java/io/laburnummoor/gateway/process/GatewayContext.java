package io.laburnummoor.gateway.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.process.ConfigFreshness;
import io.laburnummoor.core.process.CrashSuspectTable;
import io.laburnummoor.core.process.DomainOutageDetector;
import io.laburnummoor.core.process.InstanceSelector;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.process.PrefillRateEstimator;
import io.laburnummoor.core.process.WindowedRetryBudget;
import io.laburnummoor.gateway.request.CachedPrefixCodec;
import io.laburnummoor.gateway.request.ForwardCodec;

/**
 * The parts of the process that requests use.
 *
 * @param clock monotonic clock
 * @param currentSettings settings in force
 * @param state published configuration and upstreams
 * @param configFreshness age of the configuration
 * @param selector choice of upstreams
 * @param domainLosses losses of whole failure domains
 * @param loadExchange what routers tell each other
 * @param rollouts ordered rollouts
 * @param crashSuspects requests that crash upstreams
 * @param retryBudget retry budget
 * @param prefillRate speed at which engines read prompts
 * @param headerCodec translation of headers
 * @param cachedPrefixCodec questions about the prompts that engines keep
 * @param log decision log
 * @param metrics counters and histograms
 */
public record GatewayContext(
        Clock clock,
        Snapshot<GatewaySettings> currentSettings,
        GatewayState state,
        ConfigFreshness configFreshness,
        InstanceSelector selector,
        DomainOutageDetector domainLosses,
        LoadExchange loadExchange,
        OrderedRollouts rollouts,
        CrashSuspectTable crashSuspects,
        WindowedRetryBudget retryBudget,
        PrefillRateEstimator prefillRate,
        ForwardCodec headerCodec,
        CachedPrefixCodec cachedPrefixCodec,
        DecisionLog log,
        GatewayMetrics metrics) {
    /** Returns the settings in force. */
    public GatewaySettings settings() {
        return currentSettings.get();
    }
}
