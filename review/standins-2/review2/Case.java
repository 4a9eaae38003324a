package review2;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The frame of a case: its record, its temporary folder, its exit status, and the operator's configuration. */
final class Case {
    /** Exit statuses; a virtual machine that fails by itself ends with another one. */
    static final int HELD = 10;
    static final int BROKEN = 11;
    static final int NOT_RUN = 12;
    private static final long LIMIT_MILLIS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final PrintWriter record;
    private final long startMillis = Threads.nowMillis();

    private Case(Path caseFolder) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        folder = Files.createTempDirectory("laburnummoor-case");
    }

    /** What a case does; returns whether the rule held. */
    interface Body {
        boolean run(Case run) throws Exception;
    }

    /** Runs a case, whose folder is the first argument, and ends the process with its exit status. */
    static void run(String[] arguments, Body body) throws Exception {
        Case run = new Case(Path.of(arguments[0]));
        Threads.start("limit", () -> {
            Thread.sleep(LIMIT_MILLIS);
            run.note("case could not run: over " + LIMIT_MILLIS + " ms");
            System.exit(NOT_RUN);
        });
        int status = NOT_RUN;
        try {
            status = body.run(run) ? HELD : BROKEN;
        } catch (Throwable fault) {
            run.note("case could not run: " + fault);
            fault.printStackTrace();
        }
        run.note("trouble " + run.trouble + ", " + (status == HELD ? "held" : status == BROKEN ? "broken" : "not run"));
        run.deleteFolder();
        System.exit(status);
    }

    private void deleteFolder() throws Exception {
        if (System.getenv("KEEP") != null) {
            System.out.println(folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }

    long now() {
        return Threads.nowMillis() - startMillis;
    }

    /** Writes a line to the record, with the milliseconds since the start. */
    synchronized void line(String text) {
        record.println(now() + " " + text);
    }

    /** Writes a line to the record and to the standard output. */
    void note(String text) {
        line(text);
        System.out.println(text);
    }

    /** Returns a route of the operator's configuration. */
    static Map<String, Object> route(String name, String prefix, String kind, String service, long timeoutMillis) {
        boolean streaming = kind.equals("streaming");
        Map<String, Object> route = Json.of(
                "Name", name,
                "Host", Caller.HOST,
                "Prefix", prefix,
                "Kind", kind,
                "TimeoutMs", timeoutMillis,
                "ResponseGoalMs", streaming ? 4_500 : 386,
                "Priority", streaming ? 1 : 2,
                "Service", service,
                "Attempts", streaming ? 5 : 3,
                "AllowAnonymous", false,
                "StickySessions", streaming);
        if (streaming) {
            route.put("Resumable", true);
            route.put("GapTargetMs", 700);
        }
        return route;
    }

    /** Writes the first configuration. */
    static void configure(Store store, List<Map<String, Object>> services, List<Map<String, Object>> routes) {
        configure(store, 7, services, routes);
    }

    /** Writes a configuration. */
    static void configure(
            Store store, int version, List<Map<String, Object>> services, List<Map<String, Object>> routes) {
        store.put(
                "op/config",
                Json.of(
                        "Version", version,
                        "Routes", routes,
                        "Services", services,
                        "Limits",
                                Json.of(
                                        "HeaderBytes", 16_384,
                                        "BodyBytes", 4_194_304,
                                        "HeaderTimeoutMs", 3_000,
                                        "IdleTimeoutMs", 15_000),
                        "Tenants",
                                List.of(Json.of("Name", "huka270", "ApiKeys", List.of(Caller.KEY), "Priority", 1))));
    }

    static Map<String, Object> service(String name, int connectionLimit) {
        return Json.of(
                "Name", name,
                "HealthPath", "/health",
                "ConnectionLimit", connectionLimit,
                "Protocol", "h1",
                "Tls", false);
    }

    static Map<String, Object> modelService(String name, int connectionLimit, int slots) {
        Map<String, Object> service = service(name, connectionLimit);
        service.put(
                "Engine",
                Json.of(
                        "Slots", slots,
                        "KvCacheTokens", 88_000,
                        "Backups", false,
                        "Models", List.of(Json.of("Name", "m"))));
        return service;
    }
}
