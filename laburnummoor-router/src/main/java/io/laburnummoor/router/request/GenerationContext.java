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
 * What every generation of a router shares.
 *
 * @param routerName name of this router
 * @param clock monotonic clock
 * @param config configuration in force
 * @param routing known upstreams
 * @param selector chooses upstreams
 * @param engines runs attempts
 * @param journals connections to the agents that keep journals
 * @param paces expected token times by version
 * @param quarantine finds requests that crash upstreams
 * @param resumptions bounds concurrent resumptions
 * @param metrics metrics of this router
 * @param versions chooses the version of a new answer
 * @param attempts learns how attempts end
 */
public record GenerationContext(
        String routerName,
        Clock clock,
        ConfigHolder config,
        RoutingTable routing,
        UpstreamSelector selector,
        EngineClient engines,
        JournalPeers journals,
        Function<String, TokenLatencyTracker> paces,
        Quarantine quarantine,
        ResumptionLimiter resumptions,
        RouterMetrics metrics,
        VersionSelector versions,
        AttemptRecorder attempts) {}
