package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Fair queue by deficit round robin: over time, each key with waiting items is served the same total cost. The
 * {@link AdmissionScheduler} uses one for the callers of each organisation.
 *
 * <p>Not thread-safe.
 *
 * @param <T> type of the items
 */
final class DeficitRoundRobin<T> {
    private final long quantum;
    private final ToLongFunction<T> cost;
    private final Map<String, KeyQueue<T>> queuesByKey = new HashMap<>();
    private final ArrayDeque<KeyQueue<T>> activeQueues = new ArrayDeque<>();
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param quantum cost by which the deficit of a key grows in each round
     * @param cost cost of an item
     */
    DeficitRoundRobin(long quantum, ToLongFunction<T> cost) {
        this.quantum = quantum;
        this.cost = cost;
    }

    void offer(String key, T item) {
        KeyQueue<T> queue = queuesByKey.computeIfAbsent(key, added -> {
            KeyQueue<T> created = new KeyQueue<>(added);
            activeQueues.addLast(created);
            return created;
        });
        queue.items.addLast(item);
        size++;
    }

    /** Removes and returns the next item, or null if there is none. */
    @Nullable
    T poll() {
        while (!activeQueues.isEmpty()) {
            KeyQueue<T> queue = activeQueues.getFirst();
            long headCost = cost.applyAsLong(queue.items.getFirst());
            if (queue.deficit >= headCost) {
                queue.deficit -= headCost;
                size--;
                T item = queue.items.removeFirst();
                removeIfEmpty(queue);
                return item;
            }
            queue.deficit += quantum;
            activeQueues.addLast(activeQueues.removeFirst());
        }
        return null;
    }

    void remove(String key, T item) {
        KeyQueue<T> queue = queuesByKey.get(key);
        if (queue != null && queue.items.remove(item)) {
            size--;
            removeIfEmpty(queue);
        }
    }

    int size() {
        return size;
    }

    int keyCount() {
        return activeQueues.size();
    }

    int sizeOf(String key) {
        KeyQueue<T> queue = queuesByKey.get(key);
        return queue == null ? 0 : queue.items.size();
    }

    /** Removes a key without items together with its deficit, so that an idle key cannot accumulate credit. */
    private void removeIfEmpty(KeyQueue<T> queue) {
        if (queue.items.isEmpty()) {
            activeQueues.remove(queue);
            queuesByKey.remove(queue.key);
        }
    }

    private static final class KeyQueue<T> {
        private final String key;
        private final ArrayDeque<T> items = new ArrayDeque<>();
        private long deficit;

        KeyQueue(String key) {
            this.key = key;
        }
    }
}
