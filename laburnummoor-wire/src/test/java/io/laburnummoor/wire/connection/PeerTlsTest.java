package io.laburnummoor.wire.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.generated.AgentStatus;
import io.laburnummoor.wire.generated.AppendBatch;
import io.laburnummoor.wire.generated.AppendReply;
import io.laburnummoor.wire.generated.OpenReply;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.process.PeerTls;
import io.laburnummoor.wire.process.ThriftServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against commands that are accepted from a process without a trusted certificate. */
final class PeerTlsTest {
    private static final String PASSWORD = "changeit";

    @TempDir
    private static Path folder;

    private int port;
    private ThriftServer server;

    @BeforeAll
    static void createStores() throws Exception {
        Files.writeString(folder.resolve("password"), PASSWORD);
        for (String peer : List.of("agent", "router", "renewed", "stranger")) {
            createPeer(peer);
        }
        for (String peer : List.of("router", "renewed", "stranger")) {
            trust(peer, "agent");
        }
    }

    @BeforeEach
    void startServer() throws Exception {
        trust("agent", "router");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        server = new ThriftServer(
                "127.0.0.1", port, 2, Map.of("agent", new AgentService.Processor<>(new FixedAgent())), tls("agent"));
        server.start();
    }

    @AfterEach
    void stopServer() {
        server.stop();
    }

    @ParameterizedTest(name = "{0} accepted: {1}")
    @CsvSource({"router, true", "stranger, false", "none, false"})
    void onlyTrustedPeersAreServed(String peer, boolean accepted) {
        PeerSocketFactory sockets =
                peer.equals("none") ? PeerSocketFactory.PLAIN : PeerSocketFactory.secured(tls(peer));

        assertThat(isServed(sockets), is(accepted));
    }

    /** Guards against key files that are read only once, so that replaced keys need a restart. */
    @Test
    void replacedTrustTakesEffectWithoutRestart() throws Exception {
        PeerSocketFactory renewed = PeerSocketFactory.secured(tls("renewed"));
        assertThat(isServed(renewed), is(false));

        trust("agent", "renewed");

        assertThat(isServed(renewed), is(true));
    }

    private boolean isServed(PeerSocketFactory sockets) {
        try (ThriftConnection<AgentService.Client> connection =
                new ThriftConnection<>("127.0.0.1", port, 2_000, "agent", AgentService.Client::new, sockets)) {
            return connection
                    .call(client -> client.status("router"))
                    .getAgentId()
                    .equals("fixed");
        } catch (LaburnummoorException refused) {
            return false;
        }
    }

    private static PeerTls tls(String name) {
        return new PeerTls(
                folder.resolve(name + ".p12"), folder.resolve(name + "-trust.p12"), folder.resolve("password"));
    }

    private static void createPeer(String name) throws Exception {
        String store = folder.resolve(name + ".p12").toString();
        keytool("-genkeypair", "-alias", name, "-keyalg", "EC", "-dname", "CN=" + name, "-keystore", store);
        keytool("-exportcert", "-alias", name, "-file", certificate(name), "-keystore", store);
    }

    private static void trust(String name, String trusted) throws Exception {
        Path fresh = folder.resolve("fresh.p12");
        Files.deleteIfExists(fresh);
        keytool(
                "-importcert",
                "-noprompt",
                "-alias",
                trusted,
                "-file",
                certificate(trusted),
                "-keystore",
                fresh.toString());
        Files.move(fresh, folder.resolve(name + "-trust.p12"), StandardCopyOption.REPLACE_EXISTING);
    }

    private static String certificate(String name) {
        return folder.resolve(name + ".cer").toString();
    }

    private static void keytool(String... arguments) throws IOException, InterruptedException {
        Path tool = Path.of(System.getProperty("java.home"), "bin", "keytool");
        List<String> command = Stream.concat(
                        Stream.of(tool.toString()),
                        Stream.concat(Stream.of(arguments), Stream.of("-storepass", PASSWORD, "-storetype", "PKCS12")))
                .toList();
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        assertThat(process.waitFor(), is(0));
    }

    private static final class FixedAgent implements AgentService.Iface {
        @Override
        public AgentStatus status(String caller) {
            return new AgentStatus("fixed", 1, true, 1, false, 0, 0, "v1", List.of());
        }

        @Override
        public OpenReply openJournal(OpenRequest request) {
            return new OpenReply(true);
        }

        @Override
        public AppendReply append(AppendBatch batch) {
            return new AppendReply(List.of());
        }
    }
}
