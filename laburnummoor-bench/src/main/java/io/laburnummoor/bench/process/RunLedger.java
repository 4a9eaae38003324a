package io.laburnummoor.bench.process;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/** Counts the runs of each key over all stand-in plain services of a deployment. */
public final class RunLedger {
    private final ConcurrentHashMap<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, String> receipts = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Long> startedAtNanos = new ConcurrentHashMap<>();

    /** Counts a run and returns its receipt, which differs for each run. */
    String run(String key, String upstream) {
        int number = runs.computeIfAbsent(key, added -> new AtomicInteger()).incrementAndGet();
        String receipt = upstream + "-run-" + number + "-of-" + key;
        receipts.put(key, receipt);
        startedAtNanos.putIfAbsent(key, System.nanoTime());
        return receipt;
    }

    /** Returns how often a key has run. */
    public int runs(String key) {
        AtomicInteger count = runs.get(key);
        return count == null ? 0 : count.get();
    }

    /** Returns the number of keys that ran more than once. */
    public long repeatedKeys() {
        return runs.values().stream().filter(count -> count.get() > 1).count();
    }

    /** Returns the number of keys that ran. */
    public int size() {
        return runs.size();
    }

    /** Returns the receipt of a key's last run, or null if it has not run. */
    public @Nullable String receipt(String key) {
        return receipts.get(key);
    }

    /** Returns the time of a key's first run by {@code System.nanoTime()}, or null if it has not run. */
    public @Nullable Long startedAtNanos(String key) {
        return startedAtNanos.get(key);
    }
}
