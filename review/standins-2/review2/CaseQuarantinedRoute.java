package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * CONFIG: a route is added, whose clients all read one path; then all engines of the service crash in one moment and
 * are back after 1.2 s. In the steady state after that, requests on the added route must be served at least a quarter as
 * often as those on the first route.
 */
final class CaseQuarantinedRoute {
    private static final String SERVICE = "wuno96b";
    /** One engine in each zone, as the site has them. */
    private static final List<String> ZONES = List.of("bsas-norte", "bsas-centro", "bsas-sur");

    private static final int WORK_MILLIS = 86;
    private static final int FIRST_CALLERS = 6;
    /** With fewer, the crash may find none of their calls on one of the three engines. */
    private static final int ADDED_CALLERS = 18;

    private static final long PAUSE_MILLIS = 50;
    private static final long RUN_BEFORE_MILLIS = 4_000;
    private static final long DOWN_MILLIS = 1_200;
    /** From the moment at which the engines stop until their connections are reset. */
    private static final long TEARDOWN_MILLIS = 20;

    /** ContactMs after the engines are back, and as much again. */
    private static final long SETTLE_MILLIS = 6_000;

    private static final long JUDGED_MILLIS = 30_000;
    private static final int MIN_REQUESTS = 20;

    private final Case run;
    private final Store store;
    private volatile long judgedFromMillis = Long.MAX_VALUE;
    private final AtomicLong stopMillis = new AtomicLong(Long.MAX_VALUE);
    private final Served first = new Served();
    private final Served added = new Served();

    private CaseQuarantinedRoute(Case run, Store store) {
        this.run = run;
        this.store = store;
    }

    /** Requests of the steady state on a route. */
    private static final class Served {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger answered = new AtomicInteger();

        double share() {
            return (double) answered.get() / Math.max(1, sent.get());
        }

        @Override
        public String toString() {
            return answered + " of " + sent;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, run -> {
            try (Store store = new Store();
                    Gateway gateway = new Gateway("frontend-1", "bsas-norte", "127.0.0.1", store, run.folder)) {
                return new CaseQuarantinedRoute(run, store).play(gateway);
            }
        });
    }

    private boolean play(Gateway gateway) throws Exception {
        Case.configure(store, List.of(Case.service(SERVICE, 96)), List.of(route("r-first", "/puxa403/")));
        List<Engine> engines = startEngines("a");
        gateway.awaitReady();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < FIRST_CALLERS; i++) {
            callers.add(Threads.start("first", () -> call(gateway, first, false)));
        }
        Thread.sleep(RUN_BEFORE_MILLIS);
        Case.configure(
                store,
                8,
                List.of(Case.service(SERVICE, 96)),
                List.of(route("r-first", "/puxa403/"), route("r-added", "/tolo118/")));
        run.line("the store has accepted version 8, which adds the route r-added");
        Thread.sleep(SETTLE_MILLIS);
        for (int i = 0; i < ADDED_CALLERS; i++) {
            callers.add(Threads.start("added", () -> call(gateway, added, true)));
        }
        Thread.sleep(RUN_BEFORE_MILLIS);
        if (run.trouble) {
            run.line("all engines crash");
            engines.forEach(Engine::halt);
            Thread.sleep(TEARDOWN_MILLIS);
            engines.forEach(Engine::crash);
            Thread.sleep(DOWN_MILLIS);
            List<Engine> crashed = engines;
            engines = startEngines("b");
            run.line("all engines are back");
            Thread.sleep(2 * Engine.HEARTBEAT_MILLIS);
            crashed.forEach(each -> store.remove(each.key()));
        }
        Thread.sleep(SETTLE_MILLIS);
        judgedFromMillis = Threads.nowMillis();
        stopMillis.set(judgedFromMillis + JUDGED_MILLIS);
        for (Thread each : callers) {
            each.join();
        }
        engines.forEach(Engine::close);
        run.note("in " + JUDGED_MILLIS + " ms of steady state, served on the first route " + first
                + ", on the added one " + added);
        if (first.sent.get() < MIN_REQUESTS || added.sent.get() < MIN_REQUESTS || first.share() < 0.5) {
            throw new IllegalStateException("too few requests were served");
        }
        return added.share() >= first.share() / 4;
    }

    private static Map<String, Object> route(String name, String prefix) {
        return Case.route(name, prefix, "idempotent", SERVICE, 1_500);
    }

    private List<Engine> startEngines(String life) throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ZONES.size(); i++) {
            Engine engine = new Engine(run, "i-7f3a91" + life + i, SERVICE, ZONES.get(i), 6, store, (request, out) -> {
                String id = request.header("X-Laburnummoor-Attempt-Id");
                Thread.sleep(WORK_MILLIS);
                String body = "read by " + id;
                Engine.write(out, "HTTP/1.1 200 OK\r\nX-Laburnummoor-Attempt-Id: " + id
                        + "\r\nX-Laburnummoor-Server-Seal: 3e1b.07." + id
                        + "\r\nX-Laburnummoor-Server-Load: 1,0,6\r\nContent-Length: " + body.length() + "\r\n\r\n"
                        + body);
                return true;
            });
            engines.add(engine);
            engine.list();
        }
        return engines;
    }

    /** Reads again and again: on the first route each time another thing, on the added one always the same. */
    private void call(Gateway gateway, Served served, boolean sameThing) throws InterruptedException {
        try (Caller caller = new Caller(run, gateway)) {
            while (Threads.nowMillis() < stopMillis.get()) {
                String id = Caller.newId();
                boolean judged = Threads.nowMillis() >= judgedFromMillis;
                boolean success;
                try {
                    String path = sameThing ? "/tolo118/list" : "/puxa403/" + id;
                    success = caller.send("GET", path, id, 1_500, "", "").second().equals("200");
                } catch (java.io.IOException broken) {
                    success = false;
                }
                if (judged) {
                    served.sent.incrementAndGet();
                    served.answered.addAndGet(success ? 1 : 0);
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }
}
