package io.laburnummoor.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.laburnummoor.core.request.RetryPolicy;
import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.version.ForwardRoute.Target;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Guards against a faulty configuration that is reported as sound, against faults that are reported of a sound one, and
 * against keys in the output.
 */
final class ConfigCheckTest {
    /** A sound configuration, of which each test changes a part. */
    private static final class Draft {
        private long version = 3;
        private String name = "chat";
        private String host = "desk.example";
        private String prefix = "/chat/";
        private boolean streaming = true;
        private long timeoutMillis = 800;
        private long goalMillis = 300;
        private int maxUpstreams = 2;
        private boolean anonymous;
        private List<Target> targets = List.of(new Target("drafter", 1));
        private long gapMillis = 200;
        private @Nullable Urgency urgency;
        private @Nullable Urgency otherUrgency;
        private List<ForwardService> services = new ArrayList<>(List.of(service("drafter", 100, 8, 88_000)));
        private @Nullable List<ForwardOrganisation> organisations =
                new ArrayList<>(List.of(new ForwardOrganisation("park", List.of("secret-1"), null)));
        private CallerLimits limits = CallerLimits.DEFAULT;

        private ForwardDeclarations declarations() {
            ForwardRoute chat = new ForwardRoute(
                    name,
                    host,
                    prefix,
                    RetryPolicy.RESUMABLE,
                    streaming,
                    timeoutMillis,
                    goalMillis,
                    maxUpstreams,
                    anonymous,
                    targets,
                    gapMillis,
                    urgency);
            ForwardRoute batch = new ForwardRoute(
                    "batch",
                    "desk.example",
                    "/batch/",
                    RetryPolicy.IDEMPOTENT,
                    false,
                    800,
                    0,
                    2,
                    false,
                    List.of(new Target("drafter", 1)),
                    0,
                    otherUrgency);
            return new ForwardDeclarations(version, List.of(batch, chat), services, organisations, limits);
        }

        private void organisations(ForwardOrganisation... declared) {
            organisations = List.of(declared);
        }
    }

    private static ForwardService service(String name, int connectionLimit, int slots, long kvCacheTokens) {
        return new ForwardService(name, connectionLimit, true, slots, kvCacheTokens, true);
    }

    private static ForwardOrganisation organisation(String name, @Nullable Urgency urgency, String... keys) {
        return new ForwardOrganisation(name, List.of(keys), urgency);
    }

    private static Arguments draft(Consumer<Draft> change, String... findings) {
        return Arguments.of(change, List.of(findings));
    }

    private static ForwardDeclarations declarations(Consumer<Draft> change) {
        Draft draft = new Draft();
        change.accept(draft);
        return draft.declarations();
    }

    private static List<String> texts(List<ConfigFinding> findings) {
        return findings.stream().map(ConfigFinding::toString).toList();
    }

    static Stream<Arguments> soundDrafts() {
        return Stream.of(
                draft(draft -> {}),
                draft(draft -> draft.organisations = null),
                draft(draft -> draft.urgency = new Urgency(0)),
                draft(draft -> draft.timeoutMillis = 300),
                draft(draft -> draft.services.set(0, service("drafter", 8, 8, 8))),
                draft(draft -> draft.services.set(0, service("drafter", 0, 0, 0))),
                draft(draft -> {
                    draft.services.add(service("digester", 100, 0, 0));
                    draft.targets = List.of(new Target("drafter", 0), new Target("digester", 0.5));
                }),
                draft(draft -> {
                    draft.urgency = new Urgency(2);
                    draft.otherUrgency = new Urgency(2);
                    draft.organisations(
                            organisation("park", new Urgency(0), "secret-1"), organisation("hill", null, "secret-2"));
                }));
    }

    static Stream<Arguments> faultyDrafts() {
        return Stream.concat(
                Stream.concat(faultyRoutes(), faultyTargets()), Stream.concat(faultyLimits(), faultyCallers()));
    }

    private static Stream<Arguments> faultyRoutes() {
        return Stream.of(
                draft(draft -> draft.name = "batch", "ERROR route batch: is declared twice"),
                draft(
                        draft -> draft.name = " ",
                        "ERROR route desk.example/chat/: has no name, so metrics and rollouts cannot tell it"),
                draft(
                        draft -> draft.prefix = "/batch/",
                        "WARNING route chat: never matches: route batch has the same host and prefix and comes first"),
                draft(
                        draft -> draft.host = "desk.example:80",
                        "WARNING route chat: never matches: requests are compared without a port, the host is"
                                + " desk.example:80"),
                draft(
                        draft -> draft.host = "*.example",
                        "WARNING route chat: never matches: hosts are compared as they are, the host is *.example"),
                draft(draft -> draft.host = "", "WARNING route chat: matches only requests without a host"),
                draft(
                        draft -> draft.prefix = "chat/",
                        "WARNING route chat: never matches: a path begins with a slash and has no query, the prefix is"
                                + " chat/"),
                draft(
                        draft -> draft.prefix = "/chat?a=",
                        "WARNING route chat: never matches: a path begins with a slash and has no query, the prefix is"
                                + " /chat?a="),
                draft(
                        draft -> draft.prefix = "/chat",
                        "WARNING route chat: also matches other paths that begin like '/chat', which does not end with"
                                + " a slash"));
    }

    private static Stream<Arguments> faultyTargets() {
        return Stream.of(
                draft(
                        draft -> draft.targets = List.of(new Target("drafter", 1), new Target("drafterr", 1)),
                        "ERROR route chat: sends requests to drafterr, which is no service"),
                draft(
                        draft -> draft.targets = List.of(new Target("drafter", 2), new Target("drafter", -1)),
                        "ERROR route chat: has the weight -1.0 for drafter, which must be 0 or more"),
                draft(
                        draft -> draft.targets = List.of(new Target("drafter", Double.NaN)),
                        "ERROR route chat: has the weight NaN for drafter, which must be 0 or more"),
                draft(
                        draft -> draft.targets = List.of(new Target("drafter", 0)),
                        "WARNING route chat: has only weights of 0, so that all requests go to drafter"),
                draft(
                        draft -> draft.services.add(service("drafter", 9, 8, 0)),
                        "ERROR service drafter: is declared twice"),
                draft(
                        draft -> draft.services.add(service("digester", 9, 8, 0)),
                        "WARNING service digester: gets no requests from any route"));
    }

    private static Stream<Arguments> faultyLimits() {
        return Stream.of(
                draft(
                        draft -> draft.timeoutMillis = 0,
                        "ERROR route chat: has a time limit of 0 ms, so each request fails at once"),
                draft(
                        draft -> draft.goalMillis = 801,
                        "WARNING route chat: has a response goal of 801 ms, later than its time limit of 800 ms"),
                draft(draft -> draft.goalMillis = -1, "ERROR route chat: has a negative goal"),
                draft(
                        draft -> draft.maxUpstreams = 0,
                        "ERROR route chat: allows 0 upstreams for a request, which needs at least 1"),
                draft(
                        draft -> draft.streaming = false,
                        "WARNING route chat: has a target for the pause between events, but its answers are no"
                                + " streams"),
                draft(
                        draft -> draft.gapMillis = 800,
                        "WARNING route chat: allows pauses of 800 ms, which reach its time limit of 800 ms"),
                draft(
                        draft -> draft.services.set(0, service("drafter", -1, 8, 0)),
                        "ERROR service drafter: has a negative limit"),
                draft(
                        draft -> draft.services.set(0, service("drafter", 7, 8, 0)),
                        "WARNING service drafter: has 8 slots at an upstream, of which its connection limit of 7 leaves"
                                + " some unused"),
                draft(
                        draft -> draft.services.set(0, service("drafter", 100, 8, 7)),
                        "WARNING service drafter: has fewer KV-cache tokens (7) than slots (8)"),
                draft(
                        draft -> draft.limits = new CallerLimits(0, 1, 1, 1),
                        "ERROR limits on callers: a limit leaves no room for a request: CallerLimits[headerBytes=0,"
                                + " bodyBytes=1, headerTimeoutMillis=1, idleTimeoutMillis=1]"));
    }

    private static Stream<Arguments> faultyCallers() {
        return Stream.of(
                draft(
                        draft -> draft.organisations(
                                organisation("park", null, "secret-1"), organisation("hill", null, "secret-1")),
                        "ERROR organisation hill: has a key that also belongs to park"),
                draft(
                        draft -> draft.organisations(
                                organisation("park", null, "secret-1"), organisation("park", null, "secret-2")),
                        "ERROR organisation park: is declared twice"),
                draft(
                        draft ->
                                draft.organisations(organisation("park", null, "secret-1"), organisation("hill", null)),
                        "WARNING organisation hill: never matches: it has no key"),
                draft(
                        draft -> draft.organisations(organisation("park", null, "secret-1", "")),
                        "ERROR organisation park: has an empty key, which needs no secret"),
                draft(
                        draft -> draft.organisations(organisation("", null, "secret-1")),
                        "ERROR organisations: one has no name"),
                draft(
                        Draft::organisations,
                        "WARNING route batch: refuses all requests: it needs a key, and no organisation has one",
                        "WARNING route chat: refuses all requests: it needs a key, and no organisation has one"),
                draft(
                        draft -> {
                            draft.urgency = new Urgency(0);
                            draft.organisations(organisation("park", new Urgency(1), "secret-1"));
                        },
                        "WARNING route chat: its urgency never counts: all organisations have one of their own"),
                draft(
                        draft -> {
                            draft.urgency = new Urgency(2);
                            draft.otherUrgency = new Urgency(2);
                        },
                        "WARNING route batch: its urgency has no effect: all requests of drafter are equally urgent",
                        "WARNING route chat: its urgency has no effect: all requests of drafter are equally urgent"));
    }

    static Stream<Arguments> drafts() {
        return Stream.concat(soundDrafts(), faultyDrafts());
    }

    @ParameterizedTest(name = "{1}")
    @MethodSource("drafts")
    void eachFaultIsFoundOnce(Consumer<Draft> change, List<String> findings) {
        assertThat(texts(ConfigCheck.findings(declarations(change), null)), is(findings));
    }

    static Stream<Arguments> changes() {
        return Stream.of(
                draft(draft -> draft.version = 4),
                draft(draft -> draft.version = 2, "ERROR version: 2 is lower than 3 in force, so gateways ignore it"),
                changed(draft -> draft.timeoutMillis = 900, "CHANGE route chat: time limit in ms from 800 to 900"),
                changed(draft -> draft.name = "talk", "CHANGE route chat: is removed", "CHANGE route talk: is added"),
                changed(
                        draft -> draft.targets = List.of(new Target("drafter", 1), new Target("drafter", 3)),
                        "CHANGE route chat: services from drafter (weight 1.0) to drafter (weight 1.0), drafter (weight"
                                + " 3.0)"),
                changed(
                        draft -> draft.urgency = new Urgency(0),
                        "CHANGE route chat: urgency from none to 0",
                        "CHANGE service drafter: gets requests of different urgency from now on"),
                changed(
                        draft -> draft.services.set(0, service("drafter", 100, 64, 88_000)),
                        "CHANGE service drafter: slots from 8 to 64"),
                changed(
                        draft -> draft.organisations(organisation("park", null, "secret-2", "secret-3")),
                        "CHANGE organisation park: keys added: 2",
                        "CHANGE organisation park: keys withdrawn: 1"),
                changed(
                        draft -> draft.organisations(organisation("hill", null, "secret-1")),
                        "CHANGE organisation park: is removed",
                        "CHANGE organisation hill: is added"),
                changed(
                        draft -> draft.organisations = null,
                        "CHANGE organisation park: is removed",
                        "CHANGE keys: are no longer needed"),
                changed(
                        draft -> draft.limits = new CallerLimits(16_384, 4 << 20, 3_000, 20_000),
                        "CHANGE limits on callers: idle time limit in ms from 15000 to 20000"));
    }

    private static Arguments changed(Consumer<Draft> change, String... findings) {
        return draft(change.andThen(draft -> draft.version = 4), findings);
    }

    @ParameterizedTest(name = "{1}")
    @MethodSource("changes")
    void eachDifferenceIsFoundOnce(Consumer<Draft> change, List<String> findings) {
        ForwardDeclarations inForce = declarations(draft -> {});

        assertThat(texts(ConfigCheck.findings(declarations(change), inForce)), is(findings));
    }

    /** Logs would name one version for two contents. */
    @ParameterizedTest(name = "time limit {0}")
    @CsvSource({"800, 0", "900, 1"})
    void aVersionIsNotUsedTwice(long timeoutMillis, long warnings) {
        ForwardDeclarations proposed = declarations(draft -> draft.timeoutMillis = timeoutMillis);

        List<String> findings = texts(ConfigCheck.findings(proposed, declarations(draft -> {})));

        assertThat(
                findings.stream()
                        .filter(each -> each.startsWith("WARNING version: 3 is in force with other contents"))
                        .count(),
                is(warnings));
    }

    static Stream<Arguments> draftsAndChanges() {
        return Stream.concat(drafts(), changes());
    }

    @ParameterizedTest(name = "{1}")
    @MethodSource("draftsAndChanges")
    void noKeyIsPrinted(Consumer<Draft> change, List<String> findings) {
        ForwardDeclarations proposed = declarations(change);

        String printed = texts(ConfigCheck.findings(proposed, declarations(draft -> {}))) + " " + proposed;

        assertThat(printed, not(containsString("secret-")));
    }
}
