package io.laburnummoor.core.request;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.laburnummoor.core.version.CallerLimits;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.core.version.ForwardRoute;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Guards against requests that are forwarded with a revoked key or on the wrong route, and against valid requests that
 * are refused.
 */
final class RequestAuthorizerTest {
    private static final ForwardConfig CONFIG = new ForwardConfig(
            7,
            List.of(
                    route("short", "/desk/", "a", false),
                    route("long", "/desk/waivers/", "b", false),
                    route("open", "/open/", "a", true)),
            List.of(),
            Map.of("key-1", "niseko-park"),
            Map.of(),
            CallerLimits.DEFAULT);

    private static ForwardRoute route(String name, String prefix, String service, boolean anonymous) {
        return new ForwardRoute(
                name,
                "desk.example",
                prefix,
                RetryPolicy.IDEMPOTENT,
                false,
                800,
                300,
                2,
                anonymous,
                List.of(new ForwardRoute.Target(service, 1)),
                0,
                null);
    }

    static Stream<Arguments> requests() {
        return Stream.of(
                Arguments.of(true, "desk.example", "/desk/1", "key-1", "short", null),
                Arguments.of(true, "DESK.example", "/desk/waivers/1", "key-1", "long", null),
                Arguments.of(true, "desk.example", "/open/1", null, "open", null),
                Arguments.of(false, "desk.example", "/open/1", null, "open", null),
                Arguments.of(true, "desk.example", "/desk/1", null, null, RequestAuthorizer.Refusal.UNKNOWN_KEY),
                Arguments.of(true, "desk.example", "/desk/1", "old", null, RequestAuthorizer.Refusal.UNKNOWN_KEY),
                Arguments.of(true, "desk.example", "/desk", "key-1", null, RequestAuthorizer.Refusal.UNKNOWN_ROUTE),
                Arguments.of(true, "other.example", "/desk/1", "key-1", null, RequestAuthorizer.Refusal.UNKNOWN_ROUTE),
                Arguments.of(
                        false, "desk.example", "/desk/1", "key-1", null, RequestAuthorizer.Refusal.STALE_CONFIGURATION),
                Arguments.of(
                        false, "desk.example", "/new/1", "key-1", null, RequestAuthorizer.Refusal.STALE_CONFIGURATION));
    }

    @ParameterizedTest(name = "fresh {0}: {1}{2} with {3}")
    @MethodSource("requests")
    void routeAndKeyDetermineDecision(
            boolean fresh,
            String host,
            String path,
            @Nullable String key,
            @Nullable String routeName,
            RequestAuthorizer.@Nullable Refusal refusal) {
        RequestAuthorizer.Decision decision = RequestAuthorizer.decide(CONFIG, fresh, host, path, key);

        assertThat(decision.refusal(), is(refusal));
        ForwardRoute route = decision.route();
        assertThat(route == null ? null : route.name(), is(routeName));
    }

    @ParameterizedTest
    @MethodSource("requests")
    void nothingIsForwardedWithoutConfiguration(
            boolean fresh,
            String host,
            String path,
            @Nullable String key,
            @Nullable String routeName,
            RequestAuthorizer.@Nullable Refusal refusal) {
        RequestAuthorizer.Decision decision = RequestAuthorizer.decide(null, fresh, host, path, key);

        assertThat(decision.refusal(), is(RequestAuthorizer.Refusal.NO_CONFIGURATION));
        assertThat(decision.route(), is(nullValue()));
    }
}
