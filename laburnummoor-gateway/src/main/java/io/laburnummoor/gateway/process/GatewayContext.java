package io.laburnummoor.gateway.process;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.process.ConfigFreshness;
import io.laburnummoor.core.process.CrashSuspectTable;
import io.laburnummoor.core.process.DomainOutageDetector;
import io.laburnummoor.core.process.InstanceSelector;
import io.laburnummoor.core.process.OrderedRollouts;
import io.laburnummoor.core.process.PrefillRateEstimator;
import io.laburnummoor.core.process.PromptPartQuarantine;
import io.laburnummoor.core.process.WindowedRetryBudget;
import io.laburnummoor.gateway.request.CachedPrefixCodec;
import io.laburnummoor.gateway.request.ForwardCodec;

/**
 * Process-wide components that requests use.
 *
 * @param clock monotonic clock
 * @param currentSettings settings, replaced when they are reloaded
 * @param state published configuration and upstreams
 * @param configFreshness age of the configuration
 * @param selector selection of upstreams
 * @param domainOutages detection of the loss of whole failure domains
 * @param loadExchange exchange of load and state with the other routers
 * @param rollouts rollouts that operators ordered
 * @param crashSuspects requests that may crash upstreams, with the crashes counted against them
 * @param promptParts prompt parts that may crash upstreams, whatever else a request holds
 * @param retryBudget limit on the retries of each service
 * @param admission requests that wait for a place on an upstream
 * @param prefillRate measured rate at which engines process prompts
 * @param headerCodec codec for the headers of the platform
 * @param cachedPrefixCodec codec for queries about the prefixes that engines have cached
 * @param log structured log of decisions and of changes of known state
 * @param metrics counters and histograms
 */
public record GatewayContext(
        Clock clock,
        Snapshot<GatewaySettings> currentSettings,
        GatewayState state,
        ConfigFreshness configFreshness,
        InstanceSelector selector,
        DomainOutageDetector domainOutages,
        LoadExchange loadExchange,
        OrderedRollouts rollouts,
        CrashSuspectTable crashSuspects,
        PromptPartQuarantine promptParts,
        WindowedRetryBudget retryBudget,
        AdmissionQueue admission,
        PrefillRateEstimator prefillRate,
        ForwardCodec headerCodec,
        CachedPrefixCodec cachedPrefixCodec,
        DecisionLog log,
        GatewayMetrics metrics) {
    public GatewaySettings settings() {
        return currentSettings.get();
    }
}
