package io.laburnummoor.wire.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ConfigBootstrap;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigPublisher.Base;
import io.laburnummoor.core.process.ConfigPublisher.Result;
import io.laburnummoor.core.process.ConfigReplica;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.ConfigRepository.Head;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigState;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.jspecify.annotations.Nullable;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Guards against accepted revisions that are lost, reverted or half applied, and against nodes that go back. */
final class ConfigHistoryTest {
    private static final int STEPS = 260;
    private static final int NODES = 6;

    private final FaultyStore store = new FaultyStore();
    private final ConfigCodec codec = new ConfigCodec();
    private final ConfigRepository repository = new ConfigRepository(store, codec);
    private final ConfigPublisher publisher = new ConfigPublisher(repository, () -> {});
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Result> told = new HashMap<>();
    private final List<Base> staleBases = new ArrayList<>();

    @Property(tries = 200, seed = "20261204")
    void acceptedRevisionsStayAndNodesNeverGoBack(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        // The tries of a property share one instance, so each gets a fresh one here.
        new ConfigHistoryTest().run(seed);
    }

    private void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
        for (int step = 0; step < STEPS; step++) {
            takeStep(random, step);
        }
        store.heal();
        checkHistory();
        for (int round = 0; round < 200 && !allAtHead(); round++) {
            nodes.forEach(node -> node.bootstrapOrPull(random));
            nodes.get(0).watch();
            nodes.get(1).watch();
        }
        assertThat("all nodes are at the head after the faults", allAtHead(), is(true));
    }

    private void takeStep(SplittableRandom random, int step) {
        Node node = nodes.get(random.nextInt(NODES));
        switch (random.nextInt(10)) {
            case 0 -> store.down = !store.down && random.nextInt(3) == 0;
            case 1 -> store.answersToLose = random.nextInt(3);
            case 2 -> nodes.set(node.index, new Node(node.index));
            case 3 -> rememberBase();
            case 4, 5, 6 -> publish(random, "operation-" + step);
            case 7 -> node.watch();
            default -> node.bootstrapOrPull(random);
        }
    }

    private void rememberBase() {
        try {
            staleBases.add(publisher.readBase());
        } catch (LaburnummoorException down) {
            assertThat(down.errorCode(), is(ErrorCode.STORE_UNAVAILABLE));
        }
    }

    private void publish(SplittableRandom random, String operationId) {
        if (staleBases.isEmpty() || random.nextInt(4) > 0) {
            rememberBase();
        }
        if (staleBases.isEmpty()) {
            return;
        }
        Base base = staleBases.get(random.nextInt(3) == 0 ? random.nextInt(staleBases.size()) : staleBases.size() - 1);
        Map<String, ConfigEntry> entries = new TreeMap<>(base.state().entries());
        ConfigEntry entry = organisation(random.nextInt(5), 1 + random.nextInt(1_000));
        if (random.nextInt(5) == 0) {
            entries.remove(entry.key());
        } else {
            entries.put(entry.key(), entry);
        }
        try {
            told.put(
                    operationId,
                    publisher.publish(base, entries.values(), operationId).result());
        } catch (LaburnummoorException unknown) {
            assertThat(unknown.errorCode(), is(ErrorCode.OUTCOME_UNKNOWN));
        }
    }

    private void checkHistory() {
        Head head = repository.head();
        List<String> history = new ArrayList<>();
        ConfigState state = ConfigState.EMPTY;
        while (head != null && state.revision() < head.delta().revision()) {
            long next = state.revision() + 1;
            ConfigDelta delta = next == head.delta().revision() ? head.delta() : repository.delta(next);
            ConfigState following = state.apply(delta);
            assertThat("revision " + next + " is whole", following != null, is(true));
            state = following == null ? state : following;
            history.add(delta.operationId());
        }
        assertThat("no operation is in the history twice", new HashSet<>(history).size(), is(history.size()));
        told.forEach((operation, result) -> {
            if (result == Result.ACCEPTED) {
                assertThat(history, hasItem(operation));
            } else {
                assertThat(history, not(hasItem(operation)));
            }
        });
        if (head != null) {
            assertThat(
                    "a fresh reader gets the same set",
                    repository.load(head, ConfigState.EMPTY).digest(),
                    is(state.digest()));
        }
    }

    private boolean allAtHead() {
        Head head = repository.head();
        return head == null
                || nodes.stream()
                        .allMatch(node -> node.installedRevision == head.delta().revision()
                                && node.replica
                                        .state()
                                        .digest()
                                        .equals(head.delta().digest()));
    }

    private ConfigEntry organisation(int number, int limit) {
        String text = "{\"schema_version\":2,\"name\":\"o" + number
                + "\",\"key_sha256s\":[],\"later_field\":1,\"limits\":{\"max_concurrent\":" + limit
                + ",\"tokens_per_second\":1}}";
        return codec.decodeEntry("organisation/o" + number, text);
    }

    /** A node with the product's decisions and direct calls instead of sockets. */
    private final class Node {
        private final int index;
        private final RouterPeer peer;
        private final ConfigReplica replica = new ConfigReplica();
        private final ConfigBootstrap bootstrap;
        private boolean bootstrapped;
        private long installedRevision;

        Node(int index) {
            this.index = index;
            this.peer = new RouterPeer("n" + index, "d" + index % 3, "127.0.0.1", 1);
            this.bootstrap = new ConfigBootstrap(peer.name());
        }

        void bootstrapOrPull(SplittableRandom random) {
            Node other = nodes.get(random.nextInt(NODES));
            if (other != this && other.bootstrapped) {
                long revision = other.replica.state().revision();
                if (!replica.accept(other.replica.updateSince(replica.state().revision()))) {
                    replica.accept(other.replica.updateSince(0));
                }
                bootstrap.recordPeerRevision(other.peer, revision);
            }
            if (!bootstrapped) {
                bootstrap.recordRound();
                readHead();
                bootstrapped = bootstrap.mayActivate(
                        replica.state().revision(),
                        nodes.stream().map(node -> node.peer).toList());
            }
            install();
        }

        void watch() {
            try {
                Head head = repository.head();
                if (head != null && !replica.accept(head.delta())) {
                    replica.accept(repository.load(head, replica.state()));
                }
                install();
            } catch (LaburnummoorException down) {
                assertThat(down.errorCode(), is(ErrorCode.STORE_UNAVAILABLE));
            }
        }

        private void readHead() {
            try {
                Head head = repository.head();
                bootstrap.recordHeadRevision(head == null ? 0 : head.delta().revision());
                if (head != null
                        && bootstrap.mustLoadFromStore(false, replica.state().revision())) {
                    replica.accept(repository.load(head, replica.state()));
                }
            } catch (LaburnummoorException down) {
                assertThat(down.errorCode(), is(ErrorCode.STORE_UNAVAILABLE));
            }
        }

        private void install() {
            if (bootstrapped) {
                long revision = replica.state().revision();
                assertThat("a node never goes back", revision >= installedRevision, is(true));
                installedRevision = revision;
            }
        }
    }

    /** A store in memory that can be down and can lose the answers to writes that have taken effect. */
    private static final class FaultyStore implements KeyValueStore {
        private final Map<String, VersionedValue> values = new HashMap<>();
        private final Set<Long> leases = new HashSet<>();
        private boolean down;
        private int answersToLose;
        private long version;

        void heal() {
            down = false;
            answersToLose = 0;
        }

        @Override
        public @Nullable VersionedValue get(String key) {
            requireUp();
            return values.get(key);
        }

        @Override
        public long compareAndSwap(String key, long expectedVersion, String value, long leaseId) {
            requireUp();
            VersionedValue before = values.get(key);
            boolean matches = (before == null ? ABSENT : before.version()) == expectedVersion;
            if (matches) {
                values.put(key, new VersionedValue(value, ++version));
            }
            if (answersToLose > 0) {
                answersToLose--;
                throw new LaburnummoorException(ErrorCode.STORE_UNAVAILABLE, "answer lost");
            }
            return matches ? version : ABSENT;
        }

        @Override
        public long grantLease(long timeToLiveSeconds) {
            leases.add(++version);
            return version;
        }

        @Override
        public boolean keepLeaseAlive(long leaseId) {
            return leases.contains(leaseId);
        }

        @Override
        public boolean delete(String key, long expectedVersion) {
            return false;
        }

        @Override
        public @Nullable VersionedValue watch(String key, long knownVersion, long timeoutMillis) {
            return get(key);
        }

        private void requireUp() {
            if (down) {
                throw new LaburnummoorException(ErrorCode.STORE_UNAVAILABLE, "down");
            }
        }
    }
}
