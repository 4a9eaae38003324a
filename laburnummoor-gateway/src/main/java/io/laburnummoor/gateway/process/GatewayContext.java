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
import io.laburnummoor.gateway.request.ForwardCodec;
import io.laburnummoor.gateway.request.PromptListing;

/**
 * The parts of the process that requests use.
 *
 * @param clock monotonic clock
 * @param currentSettings settings in force
 * @param state published configuration and upstreams
 * @param freshness age of the configuration
 * @param choice choice of upstreams
 * @param losses losses of whole failure domains
 * @param exchange what routers tell each other
 * @param rollouts ordered rollouts
 * @param suspects requests that crash upstreams
 * @param budget retry budget
 * @param pace speed at which engines read prompts
 * @param codec translation of headers
 * @param prompts questions about the prompts that engines keep
 * @param log decision log
 * @param metrics counters and histograms
 */
public record GatewayContext(
        Clock clock,
        Snapshot<GatewaySettings> currentSettings,
        GatewayState state,
        ConfigFreshness freshness,
        InstanceSelector choice,
        DomainOutageDetector losses,
        LoadExchange exchange,
        OrderedRollouts rollouts,
        CrashSuspectTable suspects,
        WindowedRetryBudget budget,
        PrefillRateEstimator pace,
        ForwardCodec codec,
        PromptListing prompts,
        DecisionLog log,
        GatewayMetrics metrics) {
    /** Returns the settings in force. */
    public GatewaySettings settings() {
        return currentSettings.get();
    }
}
