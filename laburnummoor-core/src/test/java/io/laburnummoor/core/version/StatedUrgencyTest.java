package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.request.RetryPolicy;
import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against an urgent request that is sent as an ordinary one or the reverse, and against an urgency that is
 * stated although no other request of the service has another one, which would change what engines do for no reason.
 *
 * <p>Routes are written as name, service with its weight, and priority, for example {@code chat>drafter*1:0}; tenants
 * as name and priority.
 */
final class StatedUrgencyTest {
    @ParameterizedTest(name = "routes {0}, tenants {1}: {2} of {4} at {3} states {5}")
    @CsvSource(
            delimiter = '|',
            value = {
                "chat>drafter*1:0 batch>drafter*1:2 | park | chat | drafter | park | 0",
                "chat>drafter*1:0 batch>drafter*1:2 | park | batch | drafter | park | 2",
                "chat>drafter*1:0 batch>drafter*1 | park | batch | drafter | park | 5",
                "chat>drafter*1:0 batch>drafter*1 | | chat | drafter | | 0",
                "chat>drafter*1:2 batch>drafter*1:2 | park:0 hill | chat | drafter | park | 0",
                "chat>drafter*1:2 batch>drafter*1:2 | park:0 hill | chat | drafter | hill | 2",
                "chat>drafter*1:0 batch>drafter*1 | park:7 hill | chat | drafter | park | 7",
                "chat>drafter*1:3 batch>drafter*1:99 | park | batch | drafter | park | 9",
                // Nobody else is of another urgency.
                "chat>drafter*1 batch>drafter*1 | park | chat | drafter | park |",
                "chat>drafter*1:1 batch>drafter*1:1 | park | chat | drafter | park |",
                "chat>drafter*1:5 batch>drafter*1 | park | chat | drafter | park |",
                "chat>drafter*1:9 batch>drafter*1:12 | park | chat | drafter | park |",
                "chat>drafter*1:0 batch>digester*1:2 | park | chat | drafter | park |",
                "chat>drafter*1:0 batch>drafter*0,digester*1:2 | park | chat | drafter | park |",
                "chat>drafter*1:0 batch>drafter*1:2 | park:4 | chat | drafter | park |",
                "chat>drafter*1:0 batch>drafter*1:2 | park:4 hill:4 | batch | drafter | hill |",
                // A split whose weights are all zero sends every request to its last service.
                "chat>drafter*1:0 batch>digester*0,drafter*0:2 | park | batch | drafter | park | 2",
            })
    void onlyDifferentUrgenciesAreStated(
            String routes,
            @Nullable String tenants,
            String route,
            String service,
            @Nullable String organisation,
            @Nullable Integer level) {
        ForwardConfig config = config(routes, tenants);

        Urgency stated = config.statedUrgency(find(config, route), service, organisation);

        assertThat(config.differentiatesUrgency(service), is(level != null));
        assertThat(stated, is(level == null ? null : new Urgency(level)));
    }

    /** A running request keeps the route of the configuration under which it arrived. */
    @ParameterizedTest(name = "arrived with {0}, now {1}: states {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "chat>drafter*1:0 batch>drafter*1:2 | chat>drafter*1:7 batch>drafter*1:2 | 7",
                "chat>drafter*1 batch>drafter*1 | chat>drafter*1:0 batch>drafter*1 | 0",
                "chat>drafter*1:0 batch>drafter*1:2 | chat>drafter*1 batch>drafter*1:2 | 5",
                "chat>drafter*1:0 batch>drafter*1:2 | chat>drafter*1:2 batch>drafter*1:2 |",
                "chat>drafter*1:0 batch>drafter*1:2 | batch>drafter*1:2 other>drafter*1 | 0",
                "chat>drafter*1:0 batch>drafter*1:2 | batch>drafter*1:2 |",
                // A name that several routes share does not tell which of them it was.
                "chat>drafter*1:0 batch>drafter*1:2 | chat>drafter*1:7 chat>drafter*1:8 | 0",
            })
    void aRunningRequestFollowsTheConfigurationInForce(String before, String now, @Nullable Integer level) {
        ForwardRoute route = find(config(before, null), "chat");

        Urgency stated = config(now, null).statedUrgency(route, "drafter", null);

        assertThat(stated, is(level == null ? null : new Urgency(level)));
    }

    /** Routes without a name were mistaken for each other. */
    @ParameterizedTest(name = "/{0}/ states {1}")
    @CsvSource({"0, 0", "1, 2"})
    void routesOfOneNameKeepTheirOwnUrgency(int index, int level) {
        ForwardConfig config = config("chat>drafter*1:0 chat>drafter*1:2", null);
        ForwardRoute route = config.findRoute("desk.example", "/" + index + "/");

        assertThat(route == null ? null : config.statedUrgency(route, "drafter", null), is(new Urgency(level)));
    }

    private static ForwardRoute find(ForwardConfig config, String name) {
        for (int i = 0; i < 3; i++) {
            ForwardRoute route = config.findRoute("desk.example", "/" + i + "/");
            if (route != null && route.name().equals(name)) {
                return route;
            }
        }
        throw new IllegalArgumentException(name);
    }

    private static ForwardConfig config(String routes, @Nullable String tenants) {
        List<ForwardRoute> read = new ArrayList<>();
        for (String each : routes.split(" ")) {
            read.add(route(each, "/" + read.size() + "/"));
        }
        Map<String, Urgency> urgencyByOrganisation = new HashMap<>();
        Map<String, String> organisationByKey = new HashMap<>();
        for (String each : tenants == null ? new String[0] : tenants.split(" ")) {
            String[] parts = each.split(":");
            organisationByKey.put("key of " + parts[0], parts[0]);
            if (parts.length > 1) {
                urgencyByOrganisation.put(parts[0], Urgency.ofPriority(Long.parseLong(parts[1])));
            }
        }
        return new ForwardConfig(
                1,
                read,
                List.of(),
                tenants == null ? null : organisationByKey,
                urgencyByOrganisation,
                CallerLimits.DEFAULT);
    }

    private static ForwardRoute route(String text, String prefix) {
        String[] nameAndRest = text.split(">");
        String[] targetsAndPriority = nameAndRest[1].split(":");
        List<ForwardRoute.Target> targets = new ArrayList<>();
        for (String each : targetsAndPriority[0].split(",")) {
            String[] target = each.split("\\*");
            targets.add(new ForwardRoute.Target(target[0], Double.parseDouble(target[1])));
        }
        return new ForwardRoute(
                nameAndRest[0],
                "desk.example",
                prefix,
                RetryPolicy.IDEMPOTENT,
                false,
                800,
                300,
                2,
                false,
                targets,
                0,
                targetsAndPriority.length > 1 ? Urgency.ofPriority(Long.parseLong(targetsAndPriority[1])) : null);
    }
}
