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
 * ORDER: three of five engines spoil some of their streams: these have no length, break off, and a second answer
 * follows on the connection, to the same request or late to the one before. The events that a client gets must be those
 * that the engines made for its request.
 */
final class CaseJoinedStream {
    private static final String SERVICE = "huvo11a";
    private static final int EVENTS = 140;
    private static final int PREFILL_MILLIS = 300;
    private static final int EVENT_MILLIS = 8;
    private static final int CALLERS = 24;
    /** The largest dose of the site for garble with a second answer is x 0.03 and 5 s. */
    private static final double SPOILT_SHARE = 0.03;

    private static final long PERIOD_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int PERIODS = 6;

    private final Case run;
    private final Random random = new Random(48);
    private final Map<OutputStream, String> lastIds = Collections.synchronizedMap(new IdentityHashMap<>());
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger good = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final long startMillis = Threads.nowMillis();

    private CaseJoinedStream(Case run) {
        this.run = run;
    }

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, run -> new CaseJoinedStream(run).play());
    }

    private static String headOf(String id, String framing) {
        return "HTTP/1.1 200 OK\r\nX-Laburnummoor-Attempt-Id: " + id + "\r\nX-Laburnummoor-Server-Seal: 3e1b.07." + id
                + "\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n\r\n";
    }

    /** The event that any engine makes for a request at a position. */
    private static String eventOf(String id, int number) {
        return "id: " + number + "\ndata: token " + number + " of " + id + "\n\n";
    }

    private boolean play() throws Exception {
        Engine.Behaviour sound = (request, out) -> {
            lastIds.put(out, request.header("X-Laburnummoor-Attempt-Id"));
            return stream(request, out);
        };
        Engine.Behaviour garbling = (request, out) -> {
            String id = request.header("X-Laburnummoor-Attempt-Id");
            String earlier = lastIds.put(out, id);
            boolean inPeriod = (Threads.nowMillis() - startMillis) % (PERIOD_MILLIS + PAUSE_MILLIS) < PERIOD_MILLIS;
            double draw;
            int brokenAtMillis;
            synchronized (random) {
                draw = random.nextDouble();
                brokenAtMillis = random.nextInt(PREFILL_MILLIS + EVENTS * EVENT_MILLIS);
            }
            if (!run.trouble || !inPeriod || draw >= SPOILT_SHARE) {
                return stream(request, out);
            }
            boolean late = earlier != null && brokenAtMillis % 2 == 0;
            return spoil(request, out, brokenAtMillis, late ? earlier : id);
        };
        try (Store store = new Store();
                Engine one = new Engine(run, "i-7f3a91c1", SERVICE, "bsas-norte", 64, store, garbling);
                Engine two = new Engine(run, "i-7f3a91c2", SERVICE, "bsas-norte", 64, store, garbling);
                Engine three = new Engine(run, "i-7f3a91c3", SERVICE, "bsas-norte", 64, store, garbling);
                Engine four = new Engine(run, "i-02d9e6b4", SERVICE, "bsas-norte", 64, store, sound);
                Engine five = new Engine(run, "i-02d9e6b5", SERVICE, "bsas-norte", 64, store, sound);
                Gateway gateway = new Gateway("frontend-1", "bsas-norte", "127.0.0.1", store, run.folder)) {
            Case.configure(
                    store,
                    List.of(Case.modelService(SERVICE, 360, 64)),
                    List.of(Case.route("r-draft", "/lohu930/", "streaming", SERVICE, 25_000)));
            List.of(one, two, three, four, five).forEach(Engine::list);
            gateway.awaitReady();
            long endMillis = startMillis + PERIODS * (PERIOD_MILLIS + PAUSE_MILLIS);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(Threads.start("caller", () -> call(gateway, endMillis)));
            }
            for (Thread each : callers) {
                each.join();
            }
        }
        run.note("answers broken off " + spoilt + ", right and complete streams " + good + ", incomplete " + failed
                + ", streams with a wrong event " + wrong);
        if (good.get() < 200) {
            throw new IllegalStateException("too few streams were served");
        }
        return wrong.get() == 0;
    }

    private static int first(Http request) {
        String last = request.header("Last-Event-Id");
        return last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    }

    /** Streams the events from the position on at which the request begins, each in a chunk. */
    private static boolean stream(Http request, OutputStream out) throws Exception {
        String id = request.header("X-Laburnummoor-Attempt-Id");
        Engine.write(out, headOf(id, "Transfer-Encoding: chunked"));
        Thread.sleep(PREFILL_MILLIS);
        for (int i = first(request); i <= EVENTS; i++) {
            Thread.sleep(EVENT_MILLIS);
            String event = eventOf(id, i);
            Engine.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        Engine.write(out, "0\r\n\r\n");
        return true;
    }

    /** Streams without a length, breaks off at a time of the run, and sends a second answer, whole and at once. */
    private boolean spoil(Http request, OutputStream out, int brokenAtMillis, String secondId) throws Exception {
        String id = request.header("X-Laburnummoor-Attempt-Id");
        int whole = Math.max(0, brokenAtMillis - PREFILL_MILLIS) / EVENT_MILLIS;
        int last = Math.min(EVENTS, first(request) - 1 + whole);
        boolean beforeFirst = brokenAtMillis < PREFILL_MILLIS;
        spoilt.incrementAndGet();
        run.line("engine breaks off its stream to " + id + (beforeFirst ? " before its first event" : " behind event "
                + last) + ", and answers " + secondId + " again");
        Engine.write(out, headOf(id, "Connection: close"));
        Thread.sleep(Math.min(PREFILL_MILLIS, brokenAtMillis));
        for (int i = first(request); i <= last; i++) {
            Thread.sleep(EVENT_MILLIS);
            Engine.write(out, eventOf(id, i));
        }
        if (!beforeFirst && last < EVENTS) {
            String event = eventOf(id, last + 1);
            Engine.write(out, event.substring(0, event.length() / 2));
        }
        StringBuilder second = new StringBuilder(headOf(secondId, "Connection: close"));
        for (int i = 1; i <= EVENTS; i++) {
            second.append(eventOf(secondId, i));
        }
        Engine.write(out, second.toString());
        return false;
    }

    private void call(Gateway gateway, long endMillis) {
        try (Caller caller = new Caller(run, gateway)) {
            while (Threads.nowMillis() < endMillis) {
                String id = Caller.newId();
                String more = "X-Laburnummoor-Model: m\r\nX-Laburnummoor-Token-Counts: 1460,980\r\n"
                        + "X-Laburnummoor-Prompt-Prefix: 5c1e07a2:200," + id.substring(0, 8) + ":1260\r\n";
                try {
                    Http response = caller.send("POST", "/lohu930/2f", id, 25_000, more, "draft " + id);
                    judge(id, response);
                } catch (java.io.IOException broken) {
                    failed.incrementAndGet();
                }
            }
        }
    }

    private void judge(String id, Http response) {
        String fault = response.second().equals("200") ? wrongEventOf(id, response.text()) : "";
        if (!fault.isEmpty()) {
            wrong.incrementAndGet();
            run.note("ORDER: stream " + id + " got " + fault.replace("\r", "\\r").replace("\n", "\\n"));
        } else if (response.complete && response.text().endsWith(eventOf(id, EVENTS))) {
            good.incrementAndGet();
        } else {
            failed.incrementAndGet();
        }
    }

    /** Returns the first event that is not the next one of the request's run, or an empty text. */
    private static String wrongEventOf(String id, String body) {
        int next = 1;
        int from = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", from)) {
            String event = body.substring(from, end + 2);
            if (!event.equals(eventOf(id, next))) {
                return "as event " + next + ": " + event;
            }
            next++;
            from = end + 2;
        }
        return "";
    }
}
