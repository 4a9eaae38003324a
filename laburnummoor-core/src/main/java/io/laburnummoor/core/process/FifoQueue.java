package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Items in the order of their arrival.
 *
 * @param <T> type of the items
 */
final class FifoQueue<T> implements ItemQueue<T> {
    private final ArrayDeque<T> items = new ArrayDeque<>();

    @Override
    public void add(T item) {
        items.addLast(item);
    }

    @Override
    public @Nullable T first(Predicate<? super T> test) {
        return ItemQueue.firstOf(items, test);
    }

    @Override
    public boolean remove(T item) {
        return items.remove(item);
    }

    @Override
    public int size() {
        return items.size();
    }
}
