package io.laburnummoor.core.process;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Items in the order of a comparator, which must not regard two of them as equal.
 *
 * @param <T> type of the items
 */
final class SortedQueue<T> implements ItemQueue<T> {
    private final TreeSet<T> items;

    SortedQueue(Comparator<? super T> order) {
        this.items = new TreeSet<>(order);
    }

    @Override
    public void add(T item) {
        items.add(item);
    }

    @Override
    public @Nullable T first(Predicate<? super T> test) {
        return ItemQueue.firstOf(items, test);
    }

    /** Returns the last item, or null if there is none. */
    @Nullable
    T last() {
        return items.isEmpty() ? null : items.last();
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
