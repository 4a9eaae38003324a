package review2;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * MIXED: three of five engines break off some of their answers and send a second answer on the connection, to the same
 * request or late to the one before. Each success must have the body that the engine made for its request.
 */
final class CaseJoinedBody {
    private static final String SERVICE = "wuno96b";
    private static final int BODY_BYTES = 800;
    private static final int WORK_MILLIS = 86;
    private static final int CALLERS = 20;

    /** The largest dose of the site for garble with a second answer is x 0.03 and 5 s. */
    private static final double SPOILT_SHARE = 0.03;

    private static final long PERIOD_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int PERIODS = 6;

    private CaseJoinedBody() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, CaseJoinedBody::play);
    }

    /** The body that an engine makes for a request. */
    private static String bodyOf(String id) {
        String unit = "answer to " + id + ". ";
        return unit.repeat(BODY_BYTES / unit.length() + 1).substring(0, BODY_BYTES);
    }

    private static String answerTo(String id) {
        return "HTTP/1.1 200 OK\r\nX-Laburnummoor-Attempt-Id: " + id + "\r\nX-Laburnummoor-Server-Seal: 3e1b.07." + id
                + "\r\nX-Laburnummoor-Server-Load: 1,0,6\r\nContent-Type: text/plain\r\nContent-Length: " + BODY_BYTES
                + "\r\n\r\n" + bodyOf(id);
    }

    private static boolean play(Case run) throws Exception {
        Random random = new Random(48);
        long startMillis = Threads.nowMillis();
        AtomicInteger spoilt = new AtomicInteger();
        Map<OutputStream, String> lastIds = Collections.synchronizedMap(new IdentityHashMap<>());
        Engine.Behaviour sound = (request, out) -> {
            Thread.sleep(WORK_MILLIS);
            Engine.write(out, answerTo(request.header("X-Laburnummoor-Attempt-Id")));
            return true;
        };
        Engine.Behaviour garbling = (request, out) -> {
            int missing;
            synchronized (random) {
                boolean inPeriod = (Threads.nowMillis() - startMillis) % (PERIOD_MILLIS + PAUSE_MILLIS) < PERIOD_MILLIS;
                boolean spoils = run.trouble && inPeriod && random.nextDouble() < SPOILT_SHARE;
                missing = spoils ? 1 + random.nextInt(BODY_BYTES - 1) : 0;
            }
            String id = request.header("X-Laburnummoor-Attempt-Id");
            String earlier = lastIds.put(out, id);
            if (missing == 0) {
                return sound.serve(request, out);
            }
            boolean late = earlier != null && missing % 2 == 0;
            return spoil(run, spoilt, id, out, missing, late ? earlier : id);
        };
        try (Store store = new Store();
                Engine one = new Engine(run, "i-7f3a91c1", SERVICE, "bsas-norte", 6, store, garbling);
                Engine two = new Engine(run, "i-7f3a91c2", SERVICE, "bsas-norte", 6, store, garbling);
                Engine three = new Engine(run, "i-7f3a91c3", SERVICE, "bsas-norte", 6, store, garbling);
                Engine four = new Engine(run, "i-02d9e6b4", SERVICE, "bsas-norte", 6, store, sound);
                Engine five = new Engine(run, "i-02d9e6b5", SERVICE, "bsas-norte", 6, store, sound);
                Gateway gateway = new Gateway("frontend-1", "bsas-norte", "127.0.0.1", store, run.folder)) {
            Case.configure(
                    store,
                    List.of(Case.service(SERVICE, 96)),
                    List.of(
                            Case.route("r-lookup", "/puxa403/", "idempotent", SERVICE, 1_500),
                            Case.route("r-order", "/pule252/", "non_idempotent", SERVICE, 1_500)));
            List.of(one, two, three, four, five).forEach(Engine::list);
            gateway.awaitReady();
            AtomicInteger good = new AtomicInteger();
            AtomicInteger failed = new AtomicInteger();
            AtomicInteger wrong = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            long endMillis = startMillis + PERIODS * (PERIOD_MILLIS + PAUSE_MILLIS);
            for (int i = 0; i < CALLERS; i++) {
                boolean reads = i % 2 == 0;
                callers.add(Threads.start("caller", () -> call(run, gateway, reads, endMillis, good, failed, wrong)));
            }
            for (Thread each : callers) {
                each.join();
            }
            run.note("answers broken off " + spoilt + ", right successes " + good + ", failures " + failed
                    + ", successes with a wrong body " + wrong);
            if (good.get() < 1_000) {
                throw new IllegalStateException("too few requests were served");
            }
            return wrong.get() == 0;
        }
    }

    /** Breaks off an answer and sends a second one, to the same request or to the one before on the connection. */
    private static boolean spoil(
            Case run, AtomicInteger spoilt, String id, OutputStream out, int missing, String secondId)
            throws Exception {
        Thread.sleep(WORK_MILLIS);
        String answer = answerTo(id);
        spoilt.incrementAndGet();
        run.line("engine breaks off its answer to " + id + ", " + missing + " bytes missing, and answers " + secondId
                + " again");
        Engine.write(out, answer.substring(0, answer.length() - missing) + answerTo(secondId));
        return false;
    }

    private static void call(
            Case run,
            Gateway gateway,
            boolean reads,
            long endMillis,
            AtomicInteger good,
            AtomicInteger failed,
            AtomicInteger wrong) {
        try (Caller caller = new Caller(run, gateway)) {
            while (Threads.nowMillis() < endMillis) {
                String id = Caller.newId();
                String body;
                int status;
                try {
                    Http response = reads
                            ? caller.send("GET", "/puxa403/2f", id, 1_500, "", "")
                            : caller.send("POST", "/pule252/2f", id, 1_500, "", "order " + id);
                    status = response.complete ? Integer.parseInt(response.second()) : 0;
                    body = response.text();
                } catch (java.io.IOException broken) {
                    status = 0;
                    body = "";
                }
                if (status == 200 && body.equals(bodyOf(id))) {
                    good.incrementAndGet();
                } else if (status == 200) {
                    wrong.incrementAndGet();
                    int second = body.indexOf("HTTP/1.1");
                    run.note("MIXED: request " + id + " got 200 with a body that goes on behind " + second + " bytes: "
                            + body.substring(Math.max(0, second)).replace("\r\n", "\\r\\n"));
                } else {
                    failed.incrementAndGet();
                    run.line("request " + id + " got " + status);
                }
            }
        }
    }
}
