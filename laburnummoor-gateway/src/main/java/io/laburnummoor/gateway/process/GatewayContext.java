package io.laburnummoor.gateway.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.process.ConfigFreshness;
import io.laburnummoor.core.process.DomainLosses;
import io.laburnummoor.core.process.InstanceChoice;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.process.PromptPace;
import io.laburnummoor.core.process.SuspectTable;
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
        InstanceChoice selector,
        DomainLosses domainLosses,
        LoadExchange loadExchange,
        OrderedRollouts rollouts,
        SuspectTable crashSuspects,
        WindowedRetryBudget retryBudget,
        PromptPace prefillRate,
        ForwardCodec headerCodec,
        CachedPrefixCodec cachedPrefixCodec,
        DecisionLog log,
        GatewayMetrics metrics) {
    /** Returns the settings in force. */
    public GatewaySettings settings() {
        return currentSettings.get();
    }
}
