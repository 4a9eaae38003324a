package review2;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * ORDER: an engine process whose streams have no length is killed in the middle of them. The system kernel closes its
 * connections in order. No stream may end as complete before its last event.
 */
final class CaseKilledEngine {
    private static final String SERVICE = "huvo11a";
    private static final int EVENTS = 140;
    private static final int EVENT_MILLIS = 15;
    private static final int CALLERS = 12;
    private static final int ROUNDS = 4;
    private static final long ROUND_MILLIS = 6_000;

    private CaseKilledEngine() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, CaseKilledEngine::play);
    }

    private static String eventOf(String id, int number) {
        return "id: " + number + "\ndata: token " + number + " of " + id + "\n\n";
    }

    /** Streams the events from the position on at which the request begins; the end is the close. */
    static boolean stream(Http request, OutputStream out) throws Exception {
        String id = request.header("X-Laburnummoor-Attempt-Id");
        String last = request.header("Last-Event-Id");
        Engine.write(out, "HTTP/1.1 200 OK\r\nX-Laburnummoor-Attempt-Id: " + id + "\r\nX-Laburnummoor-Server-Seal: 3e1b.07."
                + id + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            Thread.sleep(EVENT_MILLIS);
            Engine.write(out, eventOf(id, i));
        }
        return false;
    }

    private static boolean play(Case run) throws Exception {
        AtomicInteger good = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger early = new AtomicInteger();
        try (Store store = new Store();
                Engine sound = new Engine(run, "i-02d9e6b4", SERVICE, "bsas-norte", 64, store, CaseKilledEngine::stream);
                Gateway gateway = new Gateway("frontend-1", "bsas-norte", "127.0.0.1", store, run.folder)) {
            Case.configure(
                    store,
                    List.of(Case.modelService(SERVICE, 360, 64)),
                    List.of(Case.route("r-draft", "/lohu930/", "streaming", SERVICE, 25_000)));
            sound.list();
            gateway.awaitReady();
            AtomicLong stop = new AtomicLong(Long.MAX_VALUE);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(Threads.start("caller", () -> call(run, gateway, stop, good, broken, early)));
            }
            for (int i = 0; i < ROUNDS; i++) {
                playEngine(run, store, "i-7f3a91c" + i);
            }
            stop.set(0);
            for (Thread each : callers) {
                each.join();
            }
        }
        run.note("whole streams " + good + ", broken off " + broken + ", ended as complete before the last event " + early);
        if (good.get() < 50) {
            throw new IllegalStateException("too few streams were served");
        }
        return early.get() == 0;
    }

    /** Starts an engine process, and kills it in the middle of its streams; without trouble, it goes on to the end. */
    private static void playEngine(Case run, Store store, String id) throws Exception {
        int port = Gateway.freePort("127.0.0.1");
        Process process = new ProcessBuilder(
                        "java", "-cp", "review/standins-2/target", "review2.EngineProcess", id, Integer.toString(port))
                .inheritIO()
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        long born = System.currentTimeMillis();
        Thread.sleep(1_000);
        long endMillis = Threads.nowMillis() + ROUND_MILLIS;
        for (int sequence = 1; Threads.nowMillis() < endMillis; sequence++) {
            store.put("servers/" + id, Engine.entry(SERVICE, "bsas-norte", 64, port, born, sequence));
            Thread.sleep(Engine.HEARTBEAT_MILLIS);
        }
        if (run.trouble) {
            run.line("engine " + id + " is killed");
            process.destroyForcibly();
        }
        Thread.sleep(3 * Engine.HEARTBEAT_MILLIS);
        store.remove("servers/" + id);
    }

    private static void call(
            Case run, Gateway gateway, AtomicLong stop, AtomicInteger good, AtomicInteger broken, AtomicInteger early) {
        try (Caller caller = new Caller(run, gateway)) {
            while (Threads.nowMillis() < stop.get()) {
                String id = Caller.newId();
                String more = "X-Laburnummoor-Model: m\r\nX-Laburnummoor-Token-Counts: 1460,980\r\n"
                        + "X-Laburnummoor-Prompt-Prefix: 5c1e07a2:200," + id.substring(0, 8) + ":1260\r\n";
                try {
                    Http response = caller.send("POST", "/lohu930/2f", id, 25_000, more, "draft " + id);
                    boolean whole = response.text().endsWith(eventOf(id, EVENTS));
                    boolean success = response.second().equals("200") && response.complete;
                    (success && whole ? good : success ? early : broken).incrementAndGet();
                    if (success && !whole) {
                        String text = response.text();
                        run.note("ORDER: stream " + id + " ended as complete behind: "
                                + text.substring(text.lastIndexOf("id: ")).trim().replace("\n", "\\n"));
                    }
                } catch (java.io.IOException noAnswer) {
                    broken.incrementAndGet();
                }
            }
        }
    }
}
