package review2;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * ORDER: engines whose answers have no length break off some streams inside an event and send a second answer to the
 * same request on the connection. The events that a client gets must be those that the engines made for its request.
 */
final class CaseJoinedStream {
    private static final String SERVICE = "huvo11a";
    private static final int EVENTS = 140;
    private static final int EVENT_MILLIS = 8;
    private static final int CALLERS = 24;
    /** The largest dose of the site for garble with a second answer is x 0.03 and 5 s. */
    private static final double SPOILT_SHARE = 0.03;

    private static final long PERIOD_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int PERIODS = 6;
    private static final Pattern ID = Pattern.compile("(?m)^id: ([0-9]+)$");

    private CaseJoinedStream() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, CaseJoinedStream::play);
    }

    private static String headOf(String id) {
        return "HTTP/1.1 200 OK\r\nX-Laburnummoor-Attempt-Id: " + id + "\r\nX-Laburnummoor-Server-Seal: 3e1b.07." + id
                + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    }

    /** The event that any engine makes for a request at a position. */
    private static String eventOf(String id, int number) {
        return "id: " + number + "\ndata: token " + number + " of " + id + "\n\n";
    }

    private static boolean play(Case run) throws Exception {
        Random random = new Random(48);
        AtomicInteger spoilt = new AtomicInteger();
        long startMillis = Threads.nowMillis();
        Engine.Behaviour sound = (request, out) -> stream(request, out, EVENTS);
        Engine.Behaviour garbling = (request, out) -> {
            int whole;
            synchronized (random) {
                boolean inPeriod = (Threads.nowMillis() - startMillis) % (PERIOD_MILLIS + PAUSE_MILLIS) < PERIOD_MILLIS;
                whole = run.trouble && inPeriod && random.nextDouble() < SPOILT_SHARE
                        ? 1 + random.nextInt(EVENTS - 2)
                        : EVENTS;
            }
            stream(request, out, whole);
            if (whole < EVENTS) {
                spoil(run, spoilt, request, out, whole + first(request) - 1);
            }
            return false;
        };
        try (Store store = new Store();
                Engine one = new Engine(run, "i-7f3a91c2", SERVICE, "bsas-norte", 64, store, garbling);
                Engine two = new Engine(run, "i-02d9e6b4", SERVICE, "bsas-norte", 64, store, sound);
                Gateway gateway = new Gateway("frontend-1", "bsas-norte", "127.0.0.1", store, run.folder)) {
            Case.configure(
                    store,
                    List.of(Case.modelService(SERVICE, 360, 64)),
                    List.of(Case.route("r-draft", "/lohu930/", "streaming", SERVICE, 25_000)));
            one.list();
            two.list();
            gateway.awaitReady();
            AtomicInteger good = new AtomicInteger();
            AtomicInteger failed = new AtomicInteger();
            AtomicInteger wrong = new AtomicInteger();
            long endMillis = startMillis + PERIODS * (PERIOD_MILLIS + PAUSE_MILLIS);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(Threads.start("caller", () -> call(run, gateway, endMillis, good, failed, wrong)));
            }
            for (Thread each : callers) {
                each.join();
            }
            run.note("answers broken off " + spoilt + ", right and complete streams " + good + ", incomplete " + failed
                    + ", streams with a wrong event " + wrong);
            if (good.get() < 200) {
                throw new IllegalStateException("too few streams were served");
            }
            return wrong.get() == 0;
        }
    }

    private static int first(Http request) {
        String last = request.header("Last-Event-Id");
        return last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    }

    /** Writes the head and some events from the position on at which the request begins; its end is the close. */
    private static boolean stream(Http request, OutputStream out, int count) throws Exception {
        String id = request.header("X-Laburnummoor-Attempt-Id");
        Engine.write(out, headOf(id));
        int first = first(request);
        for (int i = first; i <= Math.min(EVENTS, first + count - 1); i++) {
            Thread.sleep(EVENT_MILLIS);
            Engine.write(out, eventOf(id, i));
        }
        return false;
    }

    /** Breaks off inside the event after the given one, and sends a second answer to the same request. */
    private static void spoil(Case run, AtomicInteger spoilt, Http request, OutputStream out, int last)
            throws Exception {
        if (last >= EVENTS) {
            return;
        }
        String id = request.header("X-Laburnummoor-Attempt-Id");
        spoilt.incrementAndGet();
        run.line("engine breaks off its stream to " + id + " in event " + (last + 1) + ", and answers again");
        String event = eventOf(id, last + 1);
        Engine.write(out, event.substring(0, event.length() / 2));
        stream(request, out, EVENTS);
    }

    private static void call(
            Case run, Gateway gateway, long endMillis, AtomicInteger good, AtomicInteger failed, AtomicInteger wrong) {
        try (Caller caller = new Caller(run, gateway)) {
            while (Threads.nowMillis() < endMillis) {
                String id = Caller.newId();
                String more = "X-Laburnummoor-Model: m\r\nX-Laburnummoor-Token-Counts: 1460,980\r\n"
                        + "X-Laburnummoor-Prompt-Prefix: 5c1e07a2:200," + id.substring(0, 8) + ":1260\r\n";
                try {
                    Http response = caller.send("POST", "/lohu930/2f", id, 25_000, more, "draft " + id);
                    String fault = response.second().equals("200") ? wrongEventOf(id, response.text()) : "";
                    if (!fault.isEmpty()) {
                        wrong.incrementAndGet();
                        run.note("ORDER: stream " + id + " got " + fault.replace("\r", "\\r").replace("\n", "\\n"));
                    } else if (response.complete && response.text().contains("id: " + EVENTS + "\n")) {
                        good.incrementAndGet();
                    } else {
                        failed.incrementAndGet();
                        run.line("stream " + id + " got " + response.start + ", complete " + response.complete);
                    }
                } catch (java.io.IOException broken) {
                    failed.incrementAndGet();
                    run.line("stream " + id + " got no answer");
                }
            }
        }
    }

    /** Returns the first event that is not the next one of the request's run, or an empty text. */
    private static String wrongEventOf(String id, String body) {
        int next = 1;
        int from = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", from)) {
            String event = body.substring(from, end + 2);
            if (!event.equals(eventOf(id, next))) {
                Matcher number = ID.matcher(event);
                return "as event " + next + ": " + event + (number.find() ? "" : " (without id)");
            }
            next++;
            from = end + 2;
        }
        return "";
    }
}
