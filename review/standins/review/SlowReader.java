package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients on slow links read answers that the engine has sent completely; meanwhile the gateway gets its planned
 * SIGTERM. LOST is broken if a connection ends without the complete answer.
 */
final class SlowReader {
    private static final int ANSWER_BYTES = Integer.getInteger("answer", 6_000_000);
    private static final int BYTES_PER_SECOND = Integer.getInteger("rate", 1_000_000);
    private static final int CLIENTS = Integer.getInteger("clients", 4);

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int verdict = 2;
        try (RecordFile record = new RecordFile(Path.of(arguments[0]));
                Store store = new Store();
                Engine engine = new Engine("i-01", "desk", record, call -> {
                    call.send(200, new byte[ANSWER_BYTES]);
                    record.line("engine i-01 has sent its whole answer to " + call.id());
                });
                Gateway gateway = new Gateway("frontend-sapporo-1", "sapporo", store.address(), folder, record)) {
            verdict = run(trouble, record, store, engine, gateway);
        } catch (Exception failure) {
            failure.printStackTrace();
            verdict = 2;
        } finally {
            Lab.delete(folder);
            // Other statuses than these three come from the virtual machine itself.
            System.exit(Lab.FIRST_STATUS + verdict);
        }
    }

    private static int run(boolean trouble, RecordFile record, Store store, Engine engine, Gateway gateway)
            throws Exception {
        engine.register(store, "ready", 1);
        store.put("op/config", Lab.configuration(1,
                List.of(Lab.route("r-desk", "/desk/", "non_idempotent", "desk", false)),
                List.of(Lab.service("desk"))));
        gateway.start();
        if (!gateway.awaitReady(15)) {
            return 2;
        }
        Thread.sleep(4_000);
        List<String> results = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.thread("client", () -> {
                String result = call(record, gateway);
                synchronized (results) {
                    results.add(result);
                }
            }));
        }
        Thread.sleep(1_500);
        if (trouble) {
            gateway.signal("TERM");
        }
        for (Thread each : clients) {
            each.join(30_000);
        }
        if (trouble) {
            record.say("the process ended " + (gateway.awaitEnd(10) ? "with status " + gateway.exitValue() : "not"));
            gateway.logged("drained").forEach(each -> record.say("gateway's output: " + each));
        }
        long lost = results.stream().filter(each -> !each.equals("complete")).count();
        record.say(lost + " of " + CLIENTS + " answers are incomplete");
        return results.size() < CLIENTS ? 2 : lost > 0 ? 1 : 0;
    }

    private static String call(RecordFile record, Gateway gateway) {
        String id = Client.newId();
        int read = 0;
        String result;
        try (Client client = new Client(gateway.callerPort, 64 << 10)) {
            client.write(Client.head("POST", "/desk/report", id, true, 25_000, 0));
            record.line("client sends " + id + ", a whole request with a deadline of 25 s");
            InputStream in = client.input();
            Http.Head head = Http.head(in);
            int length = Integer.parseInt(head.header("content-length"));
            record.line("client has the head of " + id + ": status " + head.status() + ", " + length + " bytes to come");
            byte[] part = new byte[BYTES_PER_SECOND / 20];
            while (read < length) {
                int count = in.read(part);
                if (count < 0) {
                    throw new EOFException("connection closed");
                }
                read += count;
                Thread.sleep(1_000L * count / BYTES_PER_SECOND);
            }
            result = "complete";
        } catch (IOException ended) {
            result = ended.getMessage();
        } catch (InterruptedException interrupted) {
            result = "interrupted";
        }
        record.say("client " + id + ": " + result + " after " + read + " bytes");
        return result;
    }
}
