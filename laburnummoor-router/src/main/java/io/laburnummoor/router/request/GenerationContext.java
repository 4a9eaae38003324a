package io.laburnummoor.router.request;

import java.util.function.Function;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.process.ConfigHolder;
import io.laburnummoor.core.process.Quarantine;
import io.laburnummoor.core.process.ResumptionLimiter;
import io.laburnummoor.core.process.RoutingTable;
import io.laburnummoor.core.process.UpstreamSelector;
import io.laburnummoor.core.request.EngineClient;
import io.laburnummoor.core.request.VersionSelector;
import io.laburnummoor.core.version.AttemptRecorder;
import io.laburnummoor.core.version.TokenLatencyTracker;
import io.laburnummoor.router.connection.JournalPeers;
import io.laburnummoor.router.process.RouterMetrics;

/**
 * Dependencies shared by all generations of a router.
 *
 * @param routerName name of this router
 * @param clock monotonic clock
 * @param config configuration in force
 * @param routing table of the known upstreams
 * @param selector selects upstreams
 * @param engineClient sends attempts to engines
 * @param journalPeers connections to the agents that keep journals
 * @param latencyTrackers returns the latency tracker of a key {@code service/version}
 * @param quarantine detects and blocks requests that crash upstreams
 * @param resumeBudget limits concurrent resumptions
 * @param metrics metrics of this router
 * @param versionSelector selects the version of a new answer
 * @param attemptRecorder records the outcomes of attempts
 */
public record GenerationContext(
        String routerName,
        Clock clock,
        ConfigHolder config,
        RoutingTable routing,
        UpstreamSelector selector,
        EngineClient engineClient,
        JournalPeers journalPeers,
        Function<String, TokenLatencyTracker> latencyTrackers,
        Quarantine quarantine,
        ResumptionLimiter resumeBudget,
        RouterMetrics metrics,
        VersionSelector versionSelector,
        AttemptRecorder attemptRecorder) {}
