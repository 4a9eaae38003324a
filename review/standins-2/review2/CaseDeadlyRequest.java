package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * BUDGET: one request crashes each engine that begins to run it, and comes again. It may reach engines in no more than
 * three retries later than ContactMs after it has crashed the third.
 */
final class CaseDeadlyRequest {
    private static final String SERVICE = "wuno96b";
    private static final String DEADLY_PATH = "/puxa403/deadly";
    private static final int ENGINES = 3;
    private static final int WORK_MILLIS = 86;
    private static final long CONTACT_MILLIS = 3_000;
    private static final int MAX_LATE_RETRIES = 3;
    /** The engine is back after some seconds. */
    private static final long BACK_MILLIS = 2_000;

    private static final long COMES_AGAIN_MILLIS = 5_000;
    private static final int ATTEMPTS = 9;
    private static final int CALLERS = 3;
    private static final long PAUSE_MILLIS = 50;

    private final Case run;
    private final Store store;
    private final ConcurrentLinkedQueue<Engine> engines = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> deadlyArrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();
    private volatile boolean stopping;

    private CaseDeadlyRequest(Case run, Store store) {
        this.run = run;
        this.store = store;
    }

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, run -> {
            try (Store store = new Store();
                    Gateway gateway = new Gateway("frontend-1", "bsas-norte", "127.0.0.1", store, run.folder)) {
                return new CaseDeadlyRequest(run, store).play(gateway);
            }
        });
    }

    private boolean play(Gateway gateway) throws Exception {
        Case.configure(
                store,
                List.of(Case.service(SERVICE, 96)),
                List.of(
                        Case.route("r-lookup", "/puxa403/", "idempotent", SERVICE, 1_500),
                        Case.route("r-order", "/pule252/", "non_idempotent", SERVICE, 1_500)));
        for (int i = 0; i < ENGINES; i++) {
            startEngine();
        }
        gateway.awaitReady();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Threads.start("caller", () -> order(gateway)));
        }
        for (int i = 0; i < ATTEMPTS; i++) {
            Thread.sleep(COMES_AGAIN_MILLIS);
            if (run.trouble) {
                sendDeadly(gateway);
            }
        }
        Thread.sleep(1_000);
        stopping = true;
        for (Thread each : callers) {
            each.join();
        }
        engines.forEach(Engine::close);
        List<Long> arrivals = List.copyOf(deadlyArrivals);
        long late = arrivals.size() < 3
                ? 0
                : arrivals.stream().filter(each -> each > arrivals.get(2) + CONTACT_MILLIS).count();
        run.note("engines crashed by the request " + arrivals.size() + ", reached later than " + CONTACT_MILLIS
                + " ms after the third crash " + late + ", orders answered " + answered + ", orders without a success "
                + lost);
        if (answered.get() < 200) {
            throw new IllegalStateException("too few requests were served");
        }
        return late <= MAX_LATE_RETRIES;
    }

    /** Starts an incarnation with a new id. */
    private void startEngine() throws Exception {
        String id = String.format("i-%08x", 0x7f3a91c0 + starts.incrementAndGet());
        Engine[] self = new Engine[1];
        self[0] = new Engine(run, id, SERVICE, "bsas-norte", 6, store, (request, out) -> {
            String attempt = request.header("X-Laburnummoor-Attempt-Id");
            if (request.second().equals(DEADLY_PATH)) {
                crash(self[0], attempt);
                return false;
            }
            Thread.sleep(WORK_MILLIS);
            String body = "done " + attempt;
            Engine.write(out, "HTTP/1.1 200 OK\r\nX-Laburnummoor-Attempt-Id: " + attempt
                    + "\r\nX-Laburnummoor-Server-Seal: 3e1b.07." + attempt
                    + "\r\nX-Laburnummoor-Server-Load: 1,0,6\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        });
        engines.add(self[0]);
        self[0].list();
    }

    private void crash(Engine engine, String attempt) {
        deadlyArrivals.add(Threads.nowMillis());
        run.line("request " + attempt + " crashes " + engine.id);
        engine.crash();
        Threads.start("restart", () -> {
            Thread.sleep(BACK_MILLIS);
            if (!stopping) {
                startEngine();
            }
            Thread.sleep(2 * Engine.HEARTBEAT_MILLIS);
            store.remove(engine.key());
        });
    }

    private void sendDeadly(Gateway gateway) {
        try (Caller caller = new Caller(run, gateway)) {
            caller.send("GET", DEADLY_PATH, Caller.newId(), 1_500, "", "");
        } catch (java.io.IOException broken) {
            run.line("the deadly request got no answer");
        }
    }

    private void order(Gateway gateway) throws InterruptedException {
        try (Caller caller = new Caller(run, gateway)) {
            while (!stopping) {
                String id = Caller.newId();
                boolean success;
                try {
                    Http response = caller.send("POST", "/pule252/2f", id, 1_500, "", "order " + id);
                    success = response.second().equals("200");
                } catch (java.io.IOException broken) {
                    success = false;
                }
                (success ? answered : lost).incrementAndGet();
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }
}
