package io.laburnummoor.core.process;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.laburnummoor.core.StoreVersion;
import io.laburnummoor.core.connection.UpstreamInstance;
import io.laburnummoor.core.process.OrderedRollouts.ActiveRollout;
import io.laburnummoor.core.version.ExposureBound;
import io.laburnummoor.core.version.OrderedPlan;
import io.laburnummoor.core.version.RolloutOrder;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.core.version.RolloutStep;
import io.laburnummoor.core.version.VersionCounts;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Guards against a rollout that goes back, starts again or is forgotten, and against two controllers, when the store
 * was restored from an older copy and has lost the latest writes.
 */
final class RestoredStoreTest {
    private static final String SERVICE = "drafter";
    private static final long DURATION_MILLIS = 16_000;
    private static final long TICK_MILLIS = 500;

    private final FaultyStore store = new FaultyStore();
    private final TextRolloutDocuments documents = new TextRolloutDocuments();
    private long nowMillis;

    /** A router that reads each step of the store. */
    private final class Router {
        private final OrderedRollouts rollouts = new OrderedRollouts();
        private final OrderedRolloutController controller;

        Router(String name) {
            controller = new OrderedRolloutController(
                    store,
                    rollouts,
                    documents,
                    new OrderedPlan(new ExposureBound(0.1, 50)),
                    name,
                    (service, step, trials) -> {});
        }

        void order(String target, long version) {
            rollouts.addOrder(new RolloutOrder(SERVICE, target, DURATION_MILLIS, version), nowMillis);
        }

        void readStep() {
            RolloutStep stored = storedStep();
            if (stored != null) {
                rollouts.accept(SERVICE, stored);
            }
        }

        void readAfterRestore() {
            rollouts.forgetStored(nowMillis);
            readStep();
        }

        ActiveRollout active() {
            return Objects.requireNonNull(rollouts.activeRollouts().get(SERVICE));
        }

        /** Plays ticks with answers of both versions before each. */
        void play(long millis, boolean bad) {
            for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
                for (int i = 0; i < 8; i++) {
                    rollouts.recordAnswer(instance("v1"), "r-1", false);
                    rollouts.recordAnswer(instance("v2"), "r-1", bad);
                }
                controller.tick(nowMillis);
                readStep();
            }
        }
    }

    private static UpstreamInstance instance(String version) {
        return new UpstreamInstance("i-" + version, SERVICE, "sapporo", "10.0.0.1", 80, version, 24, false, 0, 1, 1);
    }

    private @Nullable RolloutStep storedStep() {
        KeyValueStore.VersionedValue stored = store.get(documents.stepKey(SERVICE));
        return stored == null ? null : documents.decodeStep(stored.value());
    }

    @ParameterizedTest(name = "lease of the lost holder given out again: {0}")
    @ValueSource(booleans = {true, false})
    void aLostLeaseHasOneHolderAgain(boolean givenOutAgain) {
        FaultyStore.Copy copy = store.copy();
        ControllerLease lost = new ControllerLease(store, "router-1");
        assertThat(lost.renewOrAcquire(), is(true));
        store.restore(copy);
        ControllerLease next = new ControllerLease(store, "router-2");
        if (givenOutAgain) {
            store.grantLease(6);
        }
        boolean nextHolds = next.renewOrAcquire();

        boolean lostHolds = lost.renewOrAcquire();

        assertThat("both hold", nextHolds && lostHolds, is(false));
        KeyValueStore.VersionedValue stored = store.get(ControllerLease.LEASE_KEY);
        assertThat(stored != null && stored.value().startsWith(lostHolds ? "router-1" : "router-2"), is(true));
    }

    /** The id belongs to another client then, whose lease must expire when that client ends. */
    @ParameterizedTest(name = "{0} leases granted to others after the restore")
    @ValueSource(ints = {1, 2})
    void aLeaseIdThatWasGivenOutAgainIsNotRenewed(int others) {
        FaultyStore.Copy copy = store.copy();
        GrantedLease lost = GrantedLease.grant(store, 6);
        store.restore(copy);
        for (int i = 0; i < others; i++) {
            store.grantLease(6);
        }

        assertThat("the id is in use", store.keepLeaseAlive(lost.id()), is(true));
        assertThat(lost.renew(store), is(false));
        assertThat(GrantedLease.grant(store, 6).renew(store), is(true));
    }

    @ParameterizedTest(name = "{0} terms lost")
    @ValueSource(ints = {1, 3})
    void theFencingTokenOfAHolderNeverGoesBack(int terms) {
        FaultyStore.Copy copy = store.copy();
        ControllerLease lease = new ControllerLease(store, "router-1");
        for (int i = 0; i < terms; i++) {
            lease.renewOrAcquire();
            store.expireLeases();
        }
        long token = lease.fencingToken();
        store.restore(copy);

        assertThat(lease.renewOrAcquire(), is(true));
        assertThat(lease.fencingToken(), is(greaterThan(token)));
    }

    /** The copy is taken at one moment of a rollout and restored at a later one. */
    @ParameterizedTest(name = "copy after {0} ms, restored after {1} ms, bad: {2}, order written again: {3}")
    @CsvSource({
        "0, 2000, false, true",
        "0, 10000, false, true",
        "0, 20000, false, true",
        "0, 20000, true, true",
        "0, 20000, true, false",
        "1000, 10000, false, true",
        "1000, 20000, false, false",
        "1000, 20000, true, true",
        "10000, 20000, false, true"
    })
    void phaseAndShareNeverGoBack(long copyMillis, long restoreMillis, boolean bad, boolean orderedAgain) {
        Router router = new Router("router-1");
        Router other = new Router("router-2");
        router.order("v2", 7);
        other.order("v2", 7);
        router.play(copyMillis, bad);
        FaultyStore.Copy copy = store.copy();
        router.play(restoreMillis - copyMillis, bad);
        other.readStep();
        RolloutStep known = router.active().step();
        long trials = router.active().trials();
        store.restore(copy);

        router.readAfterRestore();
        other.readAfterRestore();
        if (orderedAgain) {
            router.order("v2", StoreVersion.of(store.era(), 7));
            router.order("v2", StoreVersion.of(store.era(), 9));
            other.order("v2", StoreVersion.of(store.era(), 9));
        }
        assertThat(other.active().step(), is(known));
        router.play(TICK_MILLIS, bad);
        other.readStep();

        RolloutStep stored = Objects.requireNonNull(storedStep());
        assertThat(stored, is(router.active().step()));
        assertThat(stored, is(other.active().step()));
        assertThat(stored.sharePerMille(), is(greaterThanOrEqualTo(known.sharePerMille())));
        assertThat(known.isFinal() ? stored : known, is(known));
        assertThat(router.active().trials(), is(greaterThanOrEqualTo(trials)));
        KeyValueStore.VersionedValue status = store.get(documents.statusKey(SERVICE));
        assertThat(status != null && status.value().equals(documents.encodeStatus(stored)), is(true));
    }

    /** A router that started after the restore knows the order under its new revision only. */
    @ParameterizedTest(name = "known step {0} {1}")
    @CsvSource({"RUNNING, 400", "COMPLETED, 1000", "ROLLED_BACK, 0"})
    void aRouterThatStartedLaterContinuesTheStep(RolloutState.Phase phase, int share) {
        store.compareAndSwap(
                documents.stepKey(SERVICE), 0, documents.encodeStep(new RolloutStep(7, "v2", phase, share)));
        store.restore(store.copy());
        Router started = new Router("router-9");
        started.order("v2", StoreVersion.of(1, 9));

        started.controller.tick(nowMillis);

        RolloutStep stored = Objects.requireNonNull(storedStep());
        assertThat(stored.phase(), is(phase));
        assertThat(stored.sharePerMille(), is(greaterThanOrEqualTo(share)));
        started.rollouts.recordReportedCounts("router-1", 7, Map.of("r-1", VersionCounts.NONE.plusAnswer(true, false)));
        started.active().evaluate();
        assertThat("counts of the other routers", started.active().allTrials(), is(1L));
    }

    /** The holder of the lease started after the restore and does not know how far the rollout was. */
    @ParameterizedTest(name = "bad: {0}")
    @ValueSource(booleans = {true, false})
    void aStepThatTheHolderDoesNotKnowIsWrittenByAnother(boolean bad) {
        Router knowing = new Router("router-1");
        knowing.order("v2", 7);
        FaultyStore.Copy copy = store.copy();
        knowing.play(20_000, bad);
        RolloutStep known = knowing.active().step();
        store.restore(copy);
        Router holder = new Router("router-9");
        holder.order("v2", StoreVersion.of(1, 9));
        holder.controller.tick(nowMillis);
        holder.readStep();
        knowing.readAfterRestore();
        knowing.order("v2", StoreVersion.of(1, 9));

        knowing.play(2 * OrderedRolloutController.HOLDER_RESTORE_MILLIS, bad);
        holder.readStep();
        holder.controller.tick(nowMillis);

        assertThat(storedStep(), is(known));
        assertThat(holder.active().step(), is(known));
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"withdrawn", "another target", "another duration", "same era"})
    void anotherOrderStartsFromItsFirstStep(String difference) {
        Router router = new Router("router-1");
        router.order("v2", 7);
        router.play(20_000, true);
        assertThat(router.active().step().phase(), is(RolloutState.Phase.ROLLED_BACK));
        boolean sameEra = difference.equals("same era");
        if (!sameEra) {
            store.restore(store.copy());
            router.readAfterRestore();
        }
        if (difference.equals("withdrawn")) {
            router.rollouts.withdraw(SERVICE);
        }

        router.rollouts.addOrder(
                new RolloutOrder(
                        SERVICE,
                        difference.equals("another target") ? "v3" : "v2",
                        difference.equals("another duration") ? 2 * DURATION_MILLIS : DURATION_MILLIS,
                        sameEra ? 900 : StoreVersion.of(1, 9)),
                nowMillis);
        assertThat(router.active().step().phase(), is(RolloutState.Phase.RUNNING));
        router.controller.tick(nowMillis);

        assertThat(Objects.requireNonNull(storedStep()).phase(), is(RolloutState.Phase.RUNNING));
        assertThat(router.active().allTrials(), is(0L));
    }

    /** The copy holds the order that the latest one had replaced. */
    @ParameterizedTest(name = "latest order at revision {0}, written again at {1}")
    @CsvSource({"9, 12", "90, 12"})
    void anOrderThatWasReplacedDoesNotComeBack(long revision, long revisionAgain) {
        Router router = new Router("router-1");
        router.order("v2", 5);
        router.order("v3", revision);
        router.play(2_000, false);
        RolloutStep known = router.active().step();
        store.restore(store.copy());
        router.readAfterRestore();

        router.order("v2", StoreVersion.of(1, 5));
        assertThat(router.active().step(), is(known));
        router.order("v3", StoreVersion.of(1, revisionAgain));

        assertThat(
                List.of(router.active().order().targetVersion(), router.active().step()), is(List.of("v3", known)));
    }
}
