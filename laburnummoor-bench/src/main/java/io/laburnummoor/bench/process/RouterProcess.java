package io.laburnummoor.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.router.process.RouterMain;
import io.laburnummoor.router.process.RouterSettings;

/** A router in a process of its own, so that it can be killed and paused as a VM's process is. */
final class RouterProcess implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    private static final long READY_POLL_MILLIS = 50;

    private final RouterSettings settings;
    private final Path settingsFile;
    private final Process process;
    private final HttpClient http = HttpClient.newHttpClient();

    /** Starts the process. */
    RouterProcess(RouterSettings settings) throws IOException {
        this.settings = settings;
        this.settingsFile = Files.createTempFile("router", ".toml");
        Files.writeString(
                settingsFile,
                """
                name = "%s"
                failure_domain = "%s"
                host = "%s"
                http_port = %d
                admin_port = %d
                peer_port = %d
                key_value_address = "%s"
                vm_list_address = "%s"
                log_level = "ERROR"
                """
                        .formatted(
                                settings.name(),
                                settings.failureDomain(),
                                settings.host(),
                                settings.httpPort(),
                                settings.adminPort(),
                                settings.peerPort(),
                                settings.keyValueAddress(),
                                settings.vmListAddress()));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        this.process = new ProcessBuilder(
                        java,
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        RouterMain.class.getName(),
                        "serve",
                        "--settings",
                        settingsFile.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /** Returns the address for callers. */
    URI address() {
        return URI.create("http://" + settings.host() + ":" + settings.httpPort());
    }

    /** Waits until the router is ready. */
    void awaitReady() throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (!isReady()) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new IllegalStateException("router process is not ready in time");
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
    }

    /** Returns the value of a counter, 0 if it was never raised. */
    double counter(String series) throws IOException, InterruptedException {
        return get("/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith(series + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(series.length() + 1)))
                .sum();
    }

    /** Ends the process without any notice. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Stops the process from running without closing its connections. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets the process run on. */
    void unpause() throws IOException, InterruptedException {
        signal("CONT");
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.deleteIfExists(settingsFile);
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    private boolean isReady() throws InterruptedException {
        try {
            return get("/ready").statusCode() == STATUS_OK;
        } catch (IOException starting) {
            return false;
        }
    }

    private HttpResponse<String> get(String path) throws IOException, InterruptedException {
        URI address = URI.create("http://" + settings.host() + ":" + settings.adminPort() + path);
        return http.send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString());
    }
}
