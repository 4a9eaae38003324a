package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Fair queue by deficit round robin: over time, each key with waiting items is served the same total cost. The items of
 * one key are in a queue of their own, which may be another fair queue. The {@link AdmissionScheduler} uses one for the
 * callers of each organisation, the {@link WaitingQueue} one for the organisations and one for the callers of each.
 *
 * <p>The rounds up to the next item are computed and not walked through, so that the time for one item depends on the
 * number of keys only, and not on the quantum.
 *
 * <p>Not thread-safe.
 *
 * @param <T> type of the items
 * @param <Q> type of the queue for the items of one key
 */
final class DeficitRoundRobin<T, Q extends ItemQueue<T>> implements ItemQueue<T> {
    private final long quantum;
    private final ToLongFunction<? super T> cost;
    private final Function<? super T, String> keyOf;
    private final Supplier<Q> newQueue;
    private final Map<String, KeyQueue<Q>> queuesByKey = new HashMap<>();
    private final ArrayDeque<KeyQueue<Q>> activeQueues = new ArrayDeque<>();
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param quantum cost by which the deficit of a key grows in each round
     * @param cost cost of an item
     * @param keyOf key of an item
     * @param newQueue creates the queue for the items of one key
     */
    DeficitRoundRobin(
            long quantum, ToLongFunction<? super T> cost, Function<? super T, String> keyOf, Supplier<Q> newQueue) {
        this.quantum = quantum;
        this.cost = cost;
        this.keyOf = keyOf;
        this.newQueue = newQueue;
    }

    @Override
    public void add(T item) {
        KeyQueue<Q> queue = queuesByKey.computeIfAbsent(keyOf.apply(item), added -> {
            KeyQueue<Q> created = new KeyQueue<>(added, newQueue.get());
            activeQueues.addLast(created);
            return created;
        });
        queue.items.add(item);
        size++;
    }

    /** Removes and returns the next item, or null if there is none. */
    @Nullable
    T poll() {
        T next = first(item -> true);
        if (next != null) {
            take(next);
        }
        return next;
    }

    /** Returns the item that passes the test and is reached in the fewest rounds, or null. */
    @Override
    public @Nullable T first(Predicate<? super T> test) {
        T first = null;
        long fewestRounds = Long.MAX_VALUE;
        for (KeyQueue<Q> each : activeQueues) {
            T item = each.items.first(test);
            long rounds = item == null ? Long.MAX_VALUE : roundsUntil(each, item);
            if (rounds < fewestRounds) {
                first = item;
                fewestRounds = rounds;
            }
            if (fewestRounds == 0) {
                break;
            }
        }
        return first;
    }

    private long roundsUntil(KeyQueue<Q> queue, T item) {
        long missing = cost.applyAsLong(item) - queue.deficit;
        return missing <= 0 ? 0 : (missing + quantum - 1) / quantum;
    }

    /** Serves an item: all keys get the quanta of the rounds up to its turn, and its key pays for it. */
    @Override
    public void take(T item) {
        KeyQueue<Q> queue = queuesByKey.get(keyOf.apply(item));
        if (queue == null) {
            return;
        }
        long rounds = roundsUntil(queue, item);
        activeQueues.forEach(each -> each.deficit += rounds * quantum);
        while (activeQueues.getFirst() != queue) {
            KeyQueue<Q> passed = activeQueues.removeFirst();
            passed.deficit += quantum;
            activeQueues.addLast(passed);
        }
        queue.deficit -= cost.applyAsLong(item);
        queue.items.take(item);
        size--;
        removeIfEmpty(queue);
    }

    @Override
    public boolean remove(T item) {
        KeyQueue<Q> queue = queuesByKey.get(keyOf.apply(item));
        if (queue == null || !queue.items.remove(item)) {
            return false;
        }
        size--;
        removeIfEmpty(queue);
        return true;
    }

    @Override
    public int size() {
        return size;
    }

    int keyCount() {
        return activeQueues.size();
    }

    int sizeOf(String key) {
        Q queue = queueOf(key);
        return queue == null ? 0 : queue.size();
    }

    /** Returns the queue of a key, or null if nothing of it waits. */
    @Nullable
    Q queueOf(String key) {
        KeyQueue<Q> queue = queuesByKey.get(key);
        return queue == null ? null : queue.items;
    }

    /** Removes a key without items together with its deficit, so that an idle key cannot accumulate credit. */
    private void removeIfEmpty(KeyQueue<Q> queue) {
        if (queue.items.size() == 0) {
            activeQueues.remove(queue);
            queuesByKey.remove(queue.key);
        }
    }

    private static final class KeyQueue<Q> {
        private final String key;
        private final Q items;
        private long deficit;

        KeyQueue(String key, Q items) {
            this.key = key;
            this.items = items;
        }
    }
}
