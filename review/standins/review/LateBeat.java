package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One beat of an engine gets no answer from the store and is executed seconds later, when the engine has already
 * announced that it drains. DRAIN is broken if requests reach the engine later than DrainMs after that announcement.
 */
final class LateBeat {
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int DRAIN_MILLIS = 2_000;
    /** "a little longer": linger_ms of plata-mant. */
    private static final int LINGER_MILLIS = 1_500;
    /** platform_lost, late: done 1 to 6 s later. */
    private static final int LATE_MILLIS = 5_900;

    private static final int WORK_MILLIS = 300;

    /** An engine's beats: the entry in the store changes only when more than Sequence changes. */
    private static final class Beats {
        private final Store store;
        private final Engine engine;
        private String lastState = "";
        private long sequence = 10;

        Beats(Store store, Engine engine) {
            this.store = store;
            this.engine = engine;
        }

        synchronized void write(String state) {
            execute(state, ++sequence);
        }

        /** Returns the write, to be executed later. */
        synchronized Runnable unanswered(String state) {
            long number = ++sequence;
            return () -> execute(state, number);
        }

        private synchronized void execute(String state, long number) {
            if (!state.equals(lastState)) {
                lastState = state;
                engine.register(store, state, number);
            }
        }
    }

    private record Arrival(double seconds, String id) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        int verdict = 2;
        try (RecordFile record = new RecordFile(Path.of(arguments[0]));
                Store store = new Store();
                Engine leaving = new Engine("i-01", "desk", record, call -> {
                    arrivals.add(new Arrival(record.seconds(), call.id()));
                    work(call);
                });
                Engine second = new Engine("i-02", "desk", record, LateBeat::work);
                Engine third = new Engine("i-03", "desk", record, LateBeat::work);
                Gateway gateway = new Gateway("frontend-sapporo-1", "sapporo", store.address(), folder, record)) {
            verdict = run(trouble, record, store, leaving, List.of(second, third), gateway, arrivals);
        } catch (Exception failure) {
            failure.printStackTrace();
            verdict = 2;
        } finally {
            Lab.delete(folder);
            // Other statuses than these three come from the virtual machine itself.
            System.exit(Lab.FIRST_STATUS + verdict);
        }
    }

    private static void work(Engine.Call call) throws java.io.IOException, InterruptedException {
        Thread.sleep(WORK_MILLIS);
        call.send(200, new byte[800]);
    }

    private static int run(
            boolean trouble,
            RecordFile record,
            Store store,
            Engine leaving,
            List<Engine> staying,
            Gateway gateway,
            ConcurrentLinkedQueue<Arrival> arrivals)
            throws Exception {
        Beats beats = new Beats(store, leaving);
        beats.write("ready");
        for (Engine each : staying) {
            each.register(store, "ready", 10);
        }
        store.put("op/config", Lab.configuration(1,
                List.of(Lab.route("r-desk", "/desk/", "non_idempotent", "desk", false)),
                List.of(Lab.service("desk"))));
        gateway.start();
        if (!gateway.awaitReady(15)) {
            return 2;
        }
        AtomicBoolean stopping = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger unserved = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(Lab.thread("client", () -> {
                while (!stopping.get()) {
                    sent.incrementAndGet();
                    Client.Answer answer = Client.call(gateway.callerPort, "POST", "/desk/sign", true);
                    record.line("client " + answer);
                    unserved.addAndGet(answer.status() == 200 ? 0 : 1);
                }
            }));
        }
        Thread.sleep(4_000);
        // The store disturbs this one write only; then it is calm for ContactMs and more.
        Runnable write = beats.unanswered("ready");
        double disturbed = record.seconds();
        if (trouble) {
            record.say("the beat of i-01 (ready, sequence 12) gets no answer; the store executes it " + LATE_MILLIS
                    + " ms later");
            Lab.thread("late", () -> {
                sleep(LATE_MILLIS);
                write.run();
                record.say("the store executes the beat (ready, sequence 12)");
            });
        } else {
            write.run();
        }
        Thread.sleep(3_300);
        beats.write("draining");
        double drainingAt = record.seconds();
        record.say(String.format("i-01's beat (draining) is acknowledged, %.1f s after the store's disruption",
                drainingAt - disturbed));
        double exitAt = drainingAt + (DRAIN_MILLIS + LINGER_MILLIS) / 1_000.0;
        double nextBeat = drainingAt + HEARTBEAT_MILLIS / 1_000.0;
        while (record.seconds() < exitAt) {
            sleep(10);
            if (record.seconds() >= nextBeat) {
                beats.write("draining");
                nextBeat += HEARTBEAT_MILLIS / 1_000.0;
            }
        }
        leaving.close();
        store.remove("servers/i-01");
        record.say("i-01 exits, " + (DRAIN_MILLIS + LINGER_MILLIS) + " ms after that acknowledgement");
        Thread.sleep(3_000);
        stopping.set(true);
        for (Thread each : clients) {
            each.join(5_000);
        }
        long late = arrivals.stream()
                .filter(each -> each.seconds > drainingAt + DRAIN_MILLIS / 1_000.0)
                .peek(each -> record.line(String.format("%s reached i-01 %.3f s after the acknowledgement", each.id,
                        each.seconds - drainingAt)))
                .count();
        record.say(late + " requests reached i-01 later than DrainMs after the acknowledgement; " + unserved + " of "
                + sent + " requests were not served");
        return late > 0 ? 1 : 0;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
