package io.laburnummoor.router.request;

import java.util.Set;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.process.RoutingSnapshot;
import io.laburnummoor.core.process.SelectionContext;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.version.ServiceDeclaration;
import org.jspecify.annotations.Nullable;

/** Selects the version and the upstreams of one generation; called on the serial executor of the request. */
final class GenerationUpstreamSelector {
    private static final int PREFIX_HASH_CHARS = 256;

    private final GenerationRequest request;
    private final GenerationContext context;
    private final CrashSuspectIsolation guard;
    private @Nullable String lostFailureDomain;

    GenerationUpstreamSelector(GenerationRequest request, GenerationContext context, CrashSuspectIsolation guard) {
        this.request = request;
        this.context = context;
        this.guard = guard;
    }

    /** Makes later selections prefer other failure domains than this one, in which an attempt has failed. */
    void avoidFailureDomain(String failureDomain) {
        lostFailureDomain = failureDomain;
    }

    /**
     * Returns the service, version, adapter and seed that a new answer is bound to.
     *
     * @throws LaburnummoorException with code {@code no_upstream} if no upstream can take the request
     */
    Binding selectBinding() {
        ServiceDeclaration service = context.config().current().service(request.service());
        String wanted = service == null ? "" : service.activeVersion();
        UpstreamState chosen = null;
        for (String version : context.versionSelector().versionsFor(request.service(), wanted, request.id())) {
            chosen = chosen == null ? select(version.isEmpty() ? null : version, Set.of()) : chosen;
        }
        if (chosen == null || chosen.report() == null) {
            throw new LaburnummoorException(
                    ErrorCode.NO_UPSTREAM, "no upstream of service " + request.service() + " can take the request");
        }
        Long seed = request.seed();
        return new Binding(
                request.service(),
                chosen.report().version(),
                request.adapter(),
                seed == null ? RendezvousHash.hash(request.id().toString()) : seed);
    }

    /** Returns the upstream for the next attempt, or null if none can accept it now. */
    @Nullable
    UpstreamState selectUpstream(Binding bound, Set<String> excludedIds) {
        return guard.isNeeded() ? guard.selectUpstream(bound) : select(bound.version(), excludedIds);
    }

    private @Nullable UpstreamState select(@Nullable String version, Set<String> excludedIds) {
        RoutingSnapshot snapshot = context.routing().snapshot();
        String prompt = request.prompt();
        String start = prompt.substring(0, Math.min(PREFIX_HASH_CHARS, prompt.length()));
        return context.selector()
                .select(
                        snapshot,
                        new SelectionContext(
                                request.service(),
                                version,
                                request.adapter(),
                                RendezvousHash.hash(start),
                                lostFailureDomain,
                                excludedIds,
                                context.clock().nowMillis()));
    }
}
