package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Queues items by key and takes them in fair turns: over time each key with waiting items gets the same total cost.
 *
 * <p>Not safe for use by several threads at once.
 *
 * @param <T> type of the items
 */
final class DeficitRoundRobin<T> {
    private final long quantum;
    private final ToLongFunction<T> cost;
    private final Map<String, Turn<T>> turnsByKey = new HashMap<>();
    private final ArrayDeque<Turn<T>> ring = new ArrayDeque<>();
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param quantum cost that a key may spend in each round
     * @param cost cost of an item
     */
    DeficitRoundRobin(long quantum, ToLongFunction<T> cost) {
        this.quantum = quantum;
        this.cost = cost;
    }

    void offer(String key, T item) {
        Turn<T> turn = turnsByKey.computeIfAbsent(key, added -> {
            Turn<T> created = new Turn<>(added);
            ring.addLast(created);
            return created;
        });
        turn.items.addLast(item);
        size++;
    }

    /** Takes the next item, or null if there is none. */
    @Nullable
    T poll() {
        while (!ring.isEmpty()) {
            Turn<T> turn = ring.getFirst();
            long headCost = cost.applyAsLong(turn.items.getFirst());
            if (turn.deficit >= headCost) {
                turn.deficit -= headCost;
                size--;
                T item = turn.items.removeFirst();
                dropIfEmpty(turn);
                return item;
            }
            turn.deficit += quantum;
            ring.addLast(ring.removeFirst());
        }
        return null;
    }

    void remove(String key, T item) {
        Turn<T> turn = turnsByKey.get(key);
        if (turn != null && turn.items.remove(item)) {
            size--;
            dropIfEmpty(turn);
        }
    }

    int size() {
        return size;
    }

    int keyCount() {
        return ring.size();
    }

    int sizeOf(String key) {
        Turn<T> turn = turnsByKey.get(key);
        return turn == null ? 0 : turn.items.size();
    }

    /** A key without items loses its deficit, so that it cannot save up turns while it is idle. */
    private void dropIfEmpty(Turn<T> turn) {
        if (turn.items.isEmpty()) {
            ring.remove(turn);
            turnsByKey.remove(turn.key);
        }
    }

    private static final class Turn<T> {
        private final String key;
        private final ArrayDeque<T> items = new ArrayDeque<>();
        private long deficit;

        Turn(String key) {
            this.key = key;
        }
    }
}
