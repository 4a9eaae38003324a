package io.laburnummoor.router.version;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.ProcessStatus;
import io.laburnummoor.core.version.ConfigSet;
import io.laburnummoor.wire.version.ConfigCodec;
import org.approvaltests.Approvals;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

/** Guards against operator commands whose output does not match their effect on the configuration. */
final class ConfigOperationsTest {
    private static final String VERSION_1 = "schema_version = 1\n[[organisation]]\nname = \"desk\"\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final PrintStream printer = new PrintStream(out, true, StandardCharsets.UTF_8);
    private final ConfigOperations operations = new ConfigOperations(printer);
    private final InMemoryStore store = new InMemoryStore();
    private final ConfigPublisher publisher =
            new ConfigPublisher(new ConfigRepository(store, new ConfigCodec()), () -> {});

    @ParameterizedTest
    @ValueSource(
            strings = {
                "yoshikawa/declarations.toml",
                "antenas-del-plata/declarations.toml antenas-del-plata/rollout.toml"
            })
    void examplesAreValid(String files) {
        operations.check(Stream.of(files.split(" "))
                .map(file -> Path.of("../examples/" + file))
                .toList());

        assertThat(out.toString(StandardCharsets.UTF_8), containsString("are valid"));
    }

    @Test
    void sessionOfAnOperator(@TempDir Path directory) throws IOException {
        List<Path> first =
                List.of(file(directory, "a.toml", VERSION_1 + "max_concurrent = 3\ntokens_per_second = 5\n"));
        List<Path> second =
                List.of(file(directory, "b.toml", VERSION_1 + "max_concurrent = 4\ntokens_per_second = 5\n"));
        List<Path> newFormat = List.of(file(
                directory,
                "c.toml",
                "schema_version = 2\n[[organisation]]\nname = \"hall\"\n[organisation.limits]\n"
                        + "max_concurrent = 4\ntokens_per_second = 5\n"));
        List<Path> faulty = List.of(file(directory, "d.toml", VERSION_1 + "max_concurrent = 0\n"));

        run("check a", () -> operations.check(first));
        run("check d", () -> operations.check(faulty));
        run("diff a", () -> operations.diff(publisher, first, false));
        run("apply a", () -> apply(first, false, -1, "op-1"));
        run("apply a again with the same id", () -> apply(first, false, -1, "op-1"));
        run("apply a with another id", () -> apply(first, false, -1, "op-2"));
        run("apply b, expecting revision 0", () -> apply(second, false, 0, "op-3"));
        run("apply b", () -> apply(second, false, 1, "op-4"));
        run("apply c while old processes live", () -> apply(newFormat, true, -1, "op-5"));
        store.concurrentWriter = () -> {
            store.concurrentWriter = null;
            publisher.publish(publisher.readBase(), new ConfigCodec().entries(ConfigSet.EMPTY), "concurrent-op");
        };
        run("apply a while another operator is faster", () -> apply(first, false, -1, "op-6"));

        Approvals.verify(out.toString(StandardCharsets.UTF_8).replace(directory + "/", ""));
    }

    private void apply(List<Path> files, boolean merge, long expectedRevision, String operationId) {
        operations.apply(
                publisher,
                new ConfigOperations.Request(files, merge, expectedRevision, operationId),
                () -> List.of(
                        new ProcessStatus(peer("router-new"), true, 2, "", Set.of(1, 2)),
                        new ProcessStatus(peer("router-old"), true, 2, "", Set.of(1)),
                        ProcessStatus.unreachable(peer("router-away"))));
    }

    private void run(String title, Runnable command) {
        printer.println("> " + title);
        try {
            command.run();
        } catch (LaburnummoorException failure) {
            printer.println(failure.errorCode().code() + ": " + failure.getMessage());
        }
    }

    private static RouterPeer peer(String name) {
        return new RouterPeer(name, "sapporo", "127.0.0.1", 1);
    }

    private static Path file(Path directory, String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text);
    }

    /** An in-memory store that runs a concurrent write immediately before the head is replaced. */
    private static final class InMemoryStore implements KeyValueStore {
        private final Map<String, VersionedValue> values = new HashMap<>();
        private @Nullable Runnable concurrentWriter;
        private long version;

        @Override
        public @Nullable VersionedValue get(String key) {
            return values.get(key);
        }

        @Override
        public long compareAndSwap(String key, long expectedVersion, String value, long leaseId) {
            if (concurrentWriter != null && key.equals(ConfigRepository.HEAD_KEY)) {
                concurrentWriter.run();
            }
            VersionedValue before = values.get(key);
            if ((before == null ? ABSENT : before.version()) != expectedVersion) {
                return ABSENT;
            }
            values.put(key, new VersionedValue(value, ++version));
            return version;
        }

        @Override
        public long grantLease(long timeToLiveSeconds) {
            return 1;
        }

        @Override
        public boolean keepLeaseAlive(long leaseId) {
            return true;
        }

        @Override
        public boolean delete(String key, long expectedVersion) {
            return values.remove(key) != null;
        }

        @Override
        public @Nullable VersionedValue watch(String key, long knownVersion, long timeoutMillis) {
            return get(key);
        }
    }
}
