package review2;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process: the command of the deploy file, with its settings template filled in for loopback. */
final class Gateway implements AutoCloseable {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}");
    private static final long START_MILLIS = 30_000;
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;

    final String host;
    final int callerPort;
    private final int readyPort;
    private final Process process;

    /**
     * Starts the process.
     *
     * @param host a loopback address of its own
     * @param folder temporary folder for its settings and its log
     */
    Gateway(String name, String zone, String host, Store store, Path folder) throws IOException {
        this.host = host;
        this.callerPort = freePort(host);
        this.readyPort = freePort(host);
        Map<String, Object> values = Map.ofEntries(
                Map.entry("Node", name),
                Map.entry("Zone", zone),
                Map.entry("Ip", host),
                Map.entry("Listen.Front", host + ":" + callerPort),
                Map.entry("Listen.Ready", host + ":" + readyPort),
                Map.entry("InternalPorts.0", freePort(host)),
                Map.entry("InternalPorts.1", freePort(host)),
                Map.entry("Platform.Address", store.address()),
                // The figures of the site plata-mant.
                Map.entry("Bounds.RevokeMs", 5_000),
                Map.entry("Bounds.GraceS", 8),
                Map.entry("Bounds.RetryBudgetRatio", 0.8),
                Map.entry("Bounds.BudgetExtraRetries", 150),
                Map.entry("Bounds.BudgetWindowS", 10),
                Map.entry("Bounds.ExposureShare", 0.1),
                Map.entry("Bounds.ExposureSlack", 50));
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String role = deploy.substring(deploy.indexOf("[roles.gateway]"));
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, fill(Files.readString(Path.of(field(role, "template"))), values));
        ProcessBuilder builder = new ProcessBuilder(List.of(field(role, "run").split(" ")));
        builder.environment().put("LABURNUMMOOR_CONFIG", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static String field(String toml, String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(toml);
        if (!matcher.find()) {
            throw new IllegalStateException("deploy/system.toml has no " + name);
        }
        return matcher.group(1);
    }

    private static String fill(String template, Map<String, Object> values) {
        return PLACEHOLDER.matcher(template).replaceAll(found -> {
            Object value = values.get(found.group(1));
            if (value == null) {
                throw new IllegalStateException("no value for " + found.group(1));
            }
            return Matcher.quoteReplacement(found.group(2) == null ? value.toString() : Json.write(value));
        });
    }

    /** Returns a port below those that the system gives to outgoing connections. */
    private static int freePort(String host) throws IOException {
        InetAddress address = InetAddress.getByName(host);
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket tcp = new ServerSocket(port, 1, address);
                    DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), address)) {
                return udp.getLocalPort();
            } catch (BindException taken) {
                continue;
            }
        }
    }

    /** Waits until the process reports that it is ready. */
    void awaitReady() throws Exception {
        long end = Threads.nowMillis() + START_MILLIS;
        while (!isReady()) {
            if (!process.isAlive() || Threads.nowMillis() > end) {
                throw new IllegalStateException("gateway did not become ready");
            }
            Thread.sleep(50);
        }
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) new URL("http://" + host + ":" + readyPort + "/-/readiness").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal to the process, by its id. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
