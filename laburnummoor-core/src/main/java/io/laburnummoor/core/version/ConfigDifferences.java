package io.laburnummoor.core.version;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;

import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;

/** Finds what changes when a configuration replaces the one in force. */
final class ConfigDifferences {
    private static final List<Field<ForwardRoute>> ROUTE_FIELDS = List.of(
            new Field<>("host", ForwardRoute::host),
            new Field<>("prefix", ForwardRoute::prefix),
            new Field<>("retries", ForwardRoute::retryPolicy),
            new Field<>("streams", ForwardRoute::streaming),
            new Field<>("time limit in ms", ForwardRoute::timeoutMillis),
            new Field<>("response goal in ms", ForwardRoute::responseGoalMillis),
            new Field<>("upstreams for a request", ForwardRoute::maxUpstreams),
            new Field<>("requests without a key", ForwardRoute::anonymous),
            new Field<>("services", ConfigDifferences::targetsOf),
            new Field<>("longest pause in ms", ForwardRoute::eventGapTargetMillis),
            new Field<>("urgency", each -> levelOf(each.urgency())));
    private static final List<Field<ForwardService>> SERVICE_FIELDS = List.of(
            new Field<>("connection limit", ForwardService::connectionLimit),
            new Field<>("engine", ForwardService::isEngine),
            new Field<>("slots", ForwardService::slots),
            new Field<>("KV-cache tokens", ForwardService::kvCacheTokens),
            new Field<>("KV-cache backups", ForwardService::backsUpKvCache));
    private static final List<Field<ForwardOrganisation>> ORGANISATION_FIELDS =
            List.of(new Field<>("urgency", each -> levelOf(each.urgency())));
    private static final List<Field<CallerLimits>> LIMIT_FIELDS = List.of(
            new Field<>("header bytes", CallerLimits::headerBytes),
            new Field<>("body bytes", CallerLimits::bodyBytes),
            new Field<>("header time limit in ms", CallerLimits::headerTimeoutMillis),
            new Field<>("idle time limit in ms", CallerLimits::idleTimeoutMillis));

    private final Consumer<ConfigFinding> findings;

    private ConfigDifferences(Consumer<ConfigFinding> findings) {
        this.findings = findings;
    }

    /** Passes each difference to the consumer. */
    static void between(ForwardDeclarations inForce, ForwardDeclarations proposed, Consumer<ConfigFinding> findings) {
        ConfigDifferences differences = new ConfigDifferences(findings);
        differences.compareVersions(inForce, proposed);
        differences.compareLists("route", ForwardRoute::name, ROUTE_FIELDS, inForce.routes(), proposed.routes());
        differences.compareLists(
                "service", ForwardService::name, SERVICE_FIELDS, inForce.services(), proposed.services());
        differences.compareLists(
                "organisation",
                ForwardOrganisation::name,
                ORGANISATION_FIELDS,
                inForce.knownOrganisations(),
                proposed.knownOrganisations());
        differences.compareKeys(inForce, proposed);
        differences.compareFields("limits on callers", LIMIT_FIELDS, inForce.limits(), proposed.limits());
        differences.compareUrgencies(inForce.toConfig(), proposed.toConfig());
    }

    private void compareVersions(ForwardDeclarations inForce, ForwardDeclarations proposed) {
        if (proposed.version() < inForce.version()) {
            findings.accept(ConfigFinding.error(
                    "version",
                    proposed.version() + " is lower than " + inForce.version() + " in force, so gateways ignore it"));
        } else if (proposed.version() == inForce.version() && !proposed.equals(inForce)) {
            findings.accept(ConfigFinding.warning(
                    "version", proposed.version() + " is in force with other contents; logs cannot tell them apart"));
        }
    }

    private <T> void compareLists(
            String kind, Function<T, String> name, List<Field<T>> fields, List<T> inForce, List<T> proposed) {
        Map<String, T> before = byName(inForce, name);
        Map<String, T> after = byName(proposed, name);
        before.keySet().stream()
                .filter(each -> !after.containsKey(each))
                .forEach(each -> findings.accept(ConfigFinding.change(kind + " " + each, "is removed")));
        after.forEach((each, declared) -> {
            T earlier = before.get(each);
            if (earlier == null) {
                findings.accept(ConfigFinding.change(kind + " " + each, "is added"));
            } else {
                compareFields(kind + " " + each, fields, earlier, declared);
            }
        });
    }

    private static <T> Map<String, T> byName(List<T> declared, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        declared.forEach(each -> byName.putIfAbsent(name.apply(each), each));
        return byName;
    }

    private <T> void compareFields(String subject, List<Field<T>> fields, T inForce, T proposed) {
        for (Field<T> each : fields) {
            Object before = each.value().apply(inForce);
            Object after = each.value().apply(proposed);
            if (!Objects.equals(before, after)) {
                findings.accept(ConfigFinding.change(subject, each.label() + " from " + before + " to " + after));
            }
        }
    }

    /** Counts the keys, since a key must not be printed. */
    private void compareKeys(ForwardDeclarations inForce, ForwardDeclarations proposed) {
        if ((inForce.organisations() == null) != (proposed.organisations() == null)) {
            findings.accept(ConfigFinding.change(
                    "keys", proposed.organisations() == null ? "are no longer needed" : "are needed from now on"));
        }
        Map<String, ForwardOrganisation> before = byName(inForce.knownOrganisations(), ForwardOrganisation::name);
        for (ForwardOrganisation each : proposed.knownOrganisations()) {
            ForwardOrganisation earlier = before.get(each.name());
            if (earlier != null) {
                reportKeys(each.name(), "added", countMissing(each, earlier));
                reportKeys(each.name(), "withdrawn", countMissing(earlier, each));
            }
        }
    }

    private static int countMissing(ForwardOrganisation some, ForwardOrganisation others) {
        Set<String> missing = new HashSet<>(some.keys());
        others.keys().forEach(missing::remove);
        return missing.size();
    }

    private void reportKeys(String organisation, String change, int count) {
        if (count > 0) {
            findings.accept(ConfigFinding.change("organisation " + organisation, "keys " + change + ": " + count));
        }
    }

    private void compareUrgencies(ForwardConfig inForce, ForwardConfig proposed) {
        Set<String> services = new TreeSet<>(inForce.serviceNames());
        services.addAll(proposed.serviceNames());
        for (String each : services) {
            if (inForce.differentiatesUrgency(each) != proposed.differentiatesUrgency(each)) {
                findings.accept(ConfigFinding.change(
                        "service " + each,
                        proposed.differentiatesUrgency(each)
                                ? "gets requests of different urgency from now on"
                                : "gets only equally urgent requests from now on"));
            }
        }
    }

    private static String targetsOf(ForwardRoute route) {
        return String.join(
                ", ",
                route.targets().stream()
                        .map(each -> each.service() + " (weight " + each.weight() + ")")
                        .toList());
    }

    private static String levelOf(@Nullable Urgency urgency) {
        return urgency == null ? "none" : Integer.toString(urgency.level());
    }

    /** A compared value with its name for operators. */
    private record Field<T>(String label, Function<T, Object> value) {}
}
