package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the cases share: the repository, free ports, threads, the operator's configuration. */
final class Lab {
    static final Path REPOSITORY = Path.of(System.getProperty("repository", ".")).toAbsolutePath();
    static final String HOST = "ficu95.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";
    /** Status of a run whose rule held; the next ones: it was broken, the case couldn't run. */
    static final int FIRST_STATUS = 10;

    private static final List<Integer> GIVEN = new ArrayList<>();

    private Lab() {}

    static synchronized int freePort() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                int port = socket.getLocalPort();
                if (!GIVEN.contains(port)) {
                    GIVEN.add(port);
                    return port;
                }
            } catch (IOException taken) {
                throw new IllegalStateException(taken);
            }
        }
    }

    static Thread thread(String name, Runnable run) {
        Thread thread = new Thread(run, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Removes the temporary folder of a run. */
    static void delete(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
        }
        Files.delete(folder);
    }

    static Map<String, Object> route(String name, String prefix, String kind, String service, boolean anonymous) {
        return new LinkedHashMap<>(Json.of(
                "Name", name,
                "Host", HOST,
                "Prefix", prefix,
                "Kind", kind,
                "TimeoutMs", 25_000,
                "ResponseGoalMs", 4_500,
                "Priority", 1,
                "Service", service,
                "Attempts", 2,
                "AllowAnonymous", anonymous,
                "StickySessions", false,
                "Resumable", false));
    }

    static Map<String, Object> service(String name) {
        return Json.of("Name", name, "HealthPath", "/health", "ConnectionLimit", 210, "Protocol", "h1", "Tls", false);
    }

    static String configuration(long version, List<?> routes, List<?> services) {
        return Json.write(Json.of(
                "Version", version,
                "Routes", routes,
                "Services", services,
                "Limits", Json.of("HeaderBytes", 16_384, "BodyBytes", 4_194_304, "HeaderTimeoutMs", 3_000,
                        "IdleTimeoutMs", 15_000),
                "Tenants", List.of(Json.of("Name", "huka270", "ApiKeys", List.of(KEY), "Priority", 1))));
    }
}
