package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway: the command of the deploy file as a process of its own, with the settings of a small deployment. */
final class Gateway implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    final String name;
    final int callerPort = Lab.freePort();
    private final int readyPort = Lab.freePort();
    private final Path settings;
    private final Path log;
    private final RecordFile record;
    private Process process;

    Gateway(String name, String zone, String storeAddress, Path folder, RecordFile record) throws IOException {
        this.name = name;
        this.record = record;
        settings = folder.resolve(name + ".toml");
        log = folder.resolve(name + ".log");
        // The fields of platform/settings.toml.template with the bounds of ywaiver-hkd.
        Files.writeString(settings, String.join("\n",
                "name = \"" + name + "\"",
                "failure_domain = \"" + zone + "\"",
                "host = \"127.0.0.1\"",
                "caller_address = \"127.0.0.1:" + callerPort + "\"",
                "ready_address = \"127.0.0.1:" + readyPort + "\"",
                "metrics_port = " + Lab.freePort(),
                "exchange_port = " + Lab.freePort(),
                "store_address = \"" + storeAddress + "\"",
                "revocation_millis = 5000",
                "stop_seconds = 8",
                "retry_ratio = 0.8",
                "retry_extra = 150",
                "retry_window_seconds = 10",
                "exposure_share = 0.1",
                "exposure_extra = 50",
                ""));
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Lab.REPOSITORY.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words).directory(Lab.REPOSITORY.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("LABURNUMMOOR_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.say("gateway " + name + " starts, pid " + process.pid());
    }

    /** Returns the status of the readiness check, or 0 if there is no answer within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            return Http.head(socket.getInputStream()).status();
        } catch (IOException noAnswer) {
            return 0;
        }
    }

    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            if (readiness() == 200) {
                record.say("gateway " + name + " is ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.say("gateway " + name + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean awaitEnd(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Lines of the gateway's output that contain a text. */
    List<String> logged(String text) throws IOException {
        try (var lines = Files.lines(log)) {
            return lines.filter(each -> each.contains(text)).toList();
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
