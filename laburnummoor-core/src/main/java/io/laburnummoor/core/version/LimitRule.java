package io.laburnummoor.core.version;

import java.util.function.Consumer;

/** Finds limits that no request can meet or that contradict each other. */
final class LimitRule implements ConfigRule {
    @Override
    public void check(ForwardDeclarations declarations, Consumer<ConfigFinding> findings) {
        declarations.routes().forEach(each -> checkRoute(each, findings));
        declarations.services().forEach(each -> checkService(each, findings));
        checkCallers(declarations.limits(), findings);
    }

    private static void checkRoute(ForwardRoute route, Consumer<ConfigFinding> findings) {
        String subject = "route " + route.name();
        if (route.timeoutMillis() <= 0) {
            findings.accept(ConfigFinding.error(
                    subject, "has a time limit of " + route.timeoutMillis() + " ms, so each request fails at once"));
        } else if (route.responseGoalMillis() > route.timeoutMillis()) {
            findings.accept(ConfigFinding.warning(
                    subject,
                    "has a response goal of " + route.responseGoalMillis() + " ms, later than its time limit of "
                            + route.timeoutMillis() + " ms"));
        }
        if (route.maxUpstreams() < 1) {
            findings.accept(ConfigFinding.error(
                    subject, "allows " + route.maxUpstreams() + " upstreams for a request, which needs at least 1"));
        }
        if (route.responseGoalMillis() < 0 || route.eventGapTargetMillis() < 0) {
            findings.accept(ConfigFinding.error(subject, "has a negative goal"));
        }
        if (route.eventGapTargetMillis() > 0 && !route.streaming()) {
            findings.accept(ConfigFinding.warning(
                    subject, "has a target for the pause between events, but its answers are no streams"));
        } else if (route.timeoutMillis() > 0 && route.eventGapTargetMillis() >= route.timeoutMillis()) {
            findings.accept(ConfigFinding.warning(
                    subject,
                    "allows pauses of " + route.eventGapTargetMillis() + " ms, which reach its time limit of "
                            + route.timeoutMillis() + " ms"));
        }
    }

    private static void checkService(ForwardService service, Consumer<ConfigFinding> findings) {
        String subject = "service " + service.name();
        if (service.connectionLimit() < 0 || service.slots() < 0 || service.kvCacheTokens() < 0) {
            findings.accept(ConfigFinding.error(subject, "has a negative limit"));
        } else if (service.connectionLimit() > 0 && service.connectionLimit() < service.slots()) {
            findings.accept(ConfigFinding.warning(
                    subject,
                    "has " + service.slots() + " slots at an upstream, of which its connection limit of "
                            + service.connectionLimit() + " leaves some unused"));
        }
        if (service.kvCacheTokens() > 0 && service.kvCacheTokens() < service.slots()) {
            findings.accept(ConfigFinding.warning(
                    subject,
                    "has fewer KV-cache tokens (" + service.kvCacheTokens() + ") than slots (" + service.slots()
                            + ")"));
        }
    }

    private static void checkCallers(CallerLimits limits, Consumer<ConfigFinding> findings) {
        if (limits.headerBytes() <= 0
                || limits.bodyBytes() < 0
                || limits.headerTimeoutMillis() <= 0
                || limits.idleTimeoutMillis() <= 0) {
            findings.accept(
                    ConfigFinding.error("limits on callers", "a limit leaves no room for a request: " + limits));
        }
    }
}
