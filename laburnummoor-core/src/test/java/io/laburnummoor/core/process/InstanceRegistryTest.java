package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Guards against requests for upstreams that have left, and against the loss of live upstreams in an outage of the
 * store.
 */
final class InstanceRegistryTest {
    private static final int KEYS = 4;
    private static final long STEP_MILLIS = 350;

    private final InstanceRegistry registry = new InstanceRegistry(service -> true, new InstanceRegistry.Listener() {
        @Override
        public void listed(UpstreamInstance instance) {}

        @Override
        public void leaving(UpstreamInstance instance) {}

        @Override
        public void outdated(UpstreamInstance instance) {}

        @Override
        public void superseded(UpstreamInstance instance, UpstreamInstance holder) {}

        @Override
        public void dropped(UpstreamInstance instance, String reason) {}
    });
    private long now = 1_000;

    private static UpstreamInstance entry(int key, long startedAtMillis, boolean leaving) {
        return entry(key, startedAtMillis, leaving, 1);
    }

    private static UpstreamInstance entry(int key, long startedAtMillis, boolean leaving, long heartbeatNumber) {
        return new UpstreamInstance(
                "i-" + key,
                "desk",
                "niseko",
                "10.0.0." + key,
                80,
                "v1",
                8,
                leaving,
                0,
                startedAtMillis,
                heartbeatNumber);
    }

    /**
     * Guards against requests for an upstream that drains, because the store has executed an earlier heartbeat of it
     * after the one that announced the draining. Without a start time, a number up to the first one that was seen, 2
     * here, belongs to a restart.
     */
    @ParameterizedTest(
            name = "start time {0}, draining with heartbeat 15, ready with heartbeat {1}, removed between: {2}")
    @CsvSource({
        "7, 12, false, false",
        "7, 14, false, false",
        "7, 12, true, false",
        "7, 16, false, true",
        "0, 12, false, false",
        "0, 12, true, false",
        "0, 3, false, false",
        "0, 1, false, true",
        "0, 2, false, true",
        "0, 1, true, true",
    })
    void aLateHeartbeatDoesNotRevokeDraining(
            long startedAtMillis, long lateNumber, boolean removedBetween, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, startedAtMillis, false, 2), now);
        registry.put("a", entry(1, startedAtMillis, true, 15), now);
        if (removedBetween) {
            registry.remove("a", now);
        }

        registry.put("a", entry(1, startedAtMillis, false, lateNumber), now + 1_000);

        assertThat(registry.table().all().stream().anyMatch(each -> each.isInService(now + 1_000)), is(used));
    }

    /**
     * Guards against requests for an upstream that was removed without an announcement, because the store executes an
     * earlier heartbeat of it seconds later. A sound upstream that is listed again has a higher number.
     */
    @ParameterizedTest(name = "start time {0}, removed after heartbeat 15, listed again with heartbeat {1}")
    @CsvSource({
        "7, 12, false",
        "7, 15, false",
        "7, 16, true",
        "0, 12, false",
        "0, 15, false",
        "0, 16, true",
        "0, 1, true",
    })
    void aLateHeartbeatDoesNotListARemovedUpstream(long startedAtMillis, long lateNumber, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, startedAtMillis, false, 2), now);
        registry.put("a", entry(1, startedAtMillis, false, 15), now);
        registry.remove("a", now);

        registry.put("a", entry(1, startedAtMillis, false, lateNumber), now + 1_000);

        assertThat(registry.table().all().stream().anyMatch(this::isInService), is(used));
    }

    /**
     * Guards against a sound upstream that gets no requests until its next heartbeat, because the store executes an
     * earlier heartbeat of its predecessor under the same id. Start times do not decide, since clocks are set back.
     */
    @ParameterizedTest(
            name = "started at 200, successor at {0}; heartbeat {1} after 15 of the predecessor: {2} is used")
    @CsvSource({"300, 12, 300", "300, 15, 300", "100, 15, 100", "100, 16, 200"})
    void aLateHeartbeatDoesNotReplaceASuccessor(long successorStartedAtMillis, long lateNumber, long usedStart) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 200, false, 15), now);
        registry.put("a", entry(1, successorStartedAtMillis, false, 1), now + 500);

        now += 1_000;
        registry.put("a", entry(1, 200, false, lateNumber), now);

        assertThat(
                registry.table().all().stream()
                        .filter(this::isInService)
                        .map(each -> each.instance().startedAtMillis())
                        .toList(),
                is(List.of(usedStart)));
    }

    /**
     * Guards against the loss of a sound upstream whose listed entry has no new number. Its entry stays, whereas the
     * one of an upstream that has ended is removed; while the store is unavailable, neither shows.
     */
    @ParameterizedTest(name = "listed for {0} ms, removed: {1}, the store fails: {2}")
    @CsvSource({
        "19999, false, false, false",
        "20000, false, false, true",
        "20000, true, false, false",
        "20000, false, true, false",
    })
    void anUpstreamWhoseEntryStaysIsUsed(long listedMillis, boolean removed, boolean storeFails, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 7, false, 15), now);
        registry.remove("a", now);
        registry.put("a", entry(1, 7, false, 15), now);

        now += listedMillis;
        if (removed) {
            registry.remove("a", now - 1);
        }
        if (storeFails) {
            registry.recordStoreUnavailable(now - 1);
            registry.recordStoreAvailable(now);
        }
        registry.listPersistent(now);

        assertThat(registry.table().all().stream().anyMatch(this::isInService), is(used));
    }

    /** Guards against a complete read that makes a draining upstream ready: the store holds the late heartbeat. */
    @ParameterizedTest(name = "heartbeats of the store after draining: {0}, {1}")
    @CsvSource({"12, 13, false", "12, 16, true"})
    void aCompleteReadFollowsTheLatestHeartbeat(long first, long second, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 7, true, 15), now);
        for (long number : new long[] {first, second}) {
            registry.put("a", entry(1, 7, false, number), now);
            registry.retain(Set.of("a"), now);
        }

        assertThat(registry.table().all().get(0).isInService(now), is(used));
    }

    @ParameterizedTest(name = "removed {0} ms after the outage, asked {1} ms after it")
    @CsvSource({"0, 100, true", "499, 2300, true", "499, 2800, false", "500, 500, false", "1200, 1200, false"})
    void onlyRemovalsRightAfterAnOutageMayBeExpiries(long removedAfter, long askedAfter, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 7, false), now);
        now += 10_000;
        registry.recordStoreUnavailable(now);
        now += 10_000;
        registry.recordStoreAvailable(now);

        registry.remove("a", now + removedAfter);
        registry.dropExpired(now + askedAfter);

        assertThat(registry.table().size(), is(used ? 1 : 0));
    }

    /** Guards against keeping an upstream that leaves just after the process has connected to the store. */
    @ParameterizedTest(name = "removed {0} ms after the first connection")
    @CsvSource({"0", "100", "499", "5000"})
    void theFirstConnectionDoesNotEndAnOutage(long removedAfter) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 7, false), now);

        registry.remove("a", now + removedAfter);

        assertThat(registry.table().size(), is(0));
    }

    /** Guards against requests for an expired upstream after its deadline because the store's next reply is late. */
    @ParameterizedTest(name = "store fails again after {0} ms, asked {1} ms after the removal")
    @CsvSource({"-1, 2299, true", "-1, 2300, false", "-1, 2900, false", "1000, 2900, true"})
    void anExpiredUpstreamIsNotUsedAfterItsDeadline(long failsAfter, long askedAfter, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 7, false), now);
        registry.recordStoreUnavailable(now);
        registry.recordStoreAvailable(now);
        InstanceState known = registry.table().all().get(0);

        registry.remove("a", now);
        registry.dropExpired(now + 10);
        if (failsAfter >= 0) {
            registry.recordStoreUnavailable(now + failsAfter);
        }

        assertThat(known.isInService(now + askedAfter), is(used));
    }

    /**
     * Guards against requests for an upstream that said it leaves, after its entry was removed and listed again as
     * ready. A restarted upstream under the same id is another incarnation.
     */
    @ParameterizedTest(name = "listed again with start time {0}")
    @CsvSource({"7, false", "8, true"})
    void anAnnouncementToLeaveOutlivesTheEntry(long startedAtMillis, boolean used) {
        registry.recordStoreAvailable(now);
        registry.put("a", entry(1, 7, false), now);
        registry.table().all().get(0).recordLeaving();

        registry.remove("a", now);
        registry.put("a", entry(1, startedAtMillis, false, 2), now + 1_000);

        assertThat(registry.table().all().get(0).isInService(now + 1_000), is(used));
    }

    /**
     * Guards against a sound upstream that gets no requests for good, because a late heartbeat of its predecessor at
     * the same address was listed after it. The predecessor's entry expires again after some seconds.
     */
    @ParameterizedTest(name = "started at {0}, another one at {1} listed after it: {2}; it has gone: {3}")
    @CsvSource({
        "200, 100, true, true",
        "100, 200, false, true",
        "0, 100, false, true",
        "200, 0, false, true",
    })
    void theLatestIncarnationHasTheAddress(
            long startedAtMillis, long otherStartedAtMillis, boolean used, boolean usedAfterwards) {
        registry.recordStoreAvailable(now);
        registry.put("a", at("10.0.0.9", "i-1", startedAtMillis), now);
        InstanceState first = registry.table().all().get(0);

        registry.put("b", at("10.0.0.9", "i-2", otherStartedAtMillis), now);
        long inService =
                registry.table().all().stream().filter(this::isInService).count();
        assertThat(isInService(first), is(used));
        assertThat("one incarnation has the address", inService, is(1L));

        registry.remove("b", now + 4_000);
        assertThat(isInService(first), is(usedAfterwards));
    }

    private static UpstreamInstance at(String host, String id, long startedAtMillis) {
        return new UpstreamInstance(id, "desk", "niseko", host, 80, "v1", 8, false, 0, startedAtMillis, 1);
    }

    /** One step of a generated history. */
    enum Step {
        LIST,
        LEAVE,
        REMOVE,
        NEXT_INCARNATION,
        STORE_UNAVAILABLE,
        STORE_AVAILABLE,
        READ_ALL
    }

    /**
     * Compares the registry with a model of the list in the store. An upstream that is listed as ready must be in use
     * at once; one that left or was removed must be out of use once the store has been available for the relisting
     * time.
     */
    @Property(seed = "20261204", tries = 2_000)
    void theTableFollowsTheList(
            @ForAll @Size(min = 1, max = 40) List<Step> steps,
            @ForAll @Size(min = 40, max = 40) List<@IntRange(max = KEYS - 1) Integer> keys) {
        Map<Integer, UpstreamInstance> listed = new HashMap<>();
        boolean storeAvailable = false;
        for (int i = 0; i < steps.size(); i++) {
            now += STEP_MILLIS;
            int key = keys.get(i);
            storeAvailable = applyStep(steps.get(i), key, listed, storeAvailable);
            if (storeAvailable) {
                registry.dropExpired(now);
            }
            for (UpstreamInstance each : listed.values()) {
                assertThat(steps + " " + each, isUsed(each), is(storeAvailable ? !each.leaving() : isUsed(each)));
            }
        }
        settle(listed);
        long used = registry.table().all().stream()
                .filter(each -> each.isInService(now))
                .count();
        long ready = listed.values().stream().filter(each -> !each.leaving()).count();
        assertThat(steps.toString(), used, is(ready));
    }

    private boolean applyStep(Step step, int key, Map<Integer, UpstreamInstance> listed, boolean storeAvailable) {
        UpstreamInstance known = listed.get(key);
        long startedAtMillis = known == null ? now : known.startedAtMillis();
        switch (step) {
            case LIST -> change(
                    key, entry(key, startedAtMillis, known != null && known.leaving()), listed, storeAvailable);
            case LEAVE -> change(key, entry(key, startedAtMillis, true), listed, storeAvailable);
            case NEXT_INCARNATION -> change(key, entry(key, now, false), listed, storeAvailable);
            case REMOVE -> {
                listed.remove(key);
                if (storeAvailable) {
                    registry.remove("k" + key, now);
                }
            }
            case STORE_UNAVAILABLE -> registry.recordStoreUnavailable(now);
            default -> readAll(listed);
        }
        return step == Step.STORE_UNAVAILABLE
                ? false
                : storeAvailable || step == Step.STORE_AVAILABLE || step == Step.READ_ALL;
    }

    private void change(
            int key, UpstreamInstance entry, Map<Integer, UpstreamInstance> listed, boolean storeAvailable) {
        listed.put(key, entry);
        if (storeAvailable) {
            registry.put("k" + key, entry, now);
        }
    }

    private void readAll(Map<Integer, UpstreamInstance> listed) {
        registry.recordStoreAvailable(now);
        listed.forEach((key, entry) -> registry.put("k" + key, entry, now));
        Set<String> keys =
                Set.copyOf(listed.keySet().stream().map(key -> "k" + key).toList());
        registry.retain(keys, now);
    }

    private void settle(Map<Integer, UpstreamInstance> listed) {
        readAll(listed);
        now += InstanceRegistry.RELISTING_MILLIS + 1;
        readAll(listed);
        registry.dropExpired(now);
    }

    private boolean isUsed(UpstreamInstance instance) {
        return registry.table().all().stream()
                .anyMatch(each -> each.instance().isSameIncarnation(instance) && isInService(each));
    }

    private boolean isInService(InstanceState state) {
        return state.isInService(now);
    }
}
