package io.laburnummoor.core.process;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Waiting items in the order in which they are served. Not thread-safe.
 *
 * @param <T> type of the items
 */
interface ItemQueue<T> {
    void add(T item);

    /** Returns the first of some items that passes the test, or null. */
    static <T> @Nullable T firstOf(Iterable<T> items, Predicate<? super T> test) {
        for (T each : items) {
            if (test.test(each)) {
                return each;
            }
        }
        return null;
    }

    /** Returns the first item that passes the test, or null. The test runs on as few items as the order allows. */
    @Nullable
    T first(Predicate<? super T> test);

    /** Removes an item that is not served; returns whether it was there. */
    boolean remove(T item);

    /** Removes an item that is served, which counts towards the share of its key. */
    default void take(T item) {
        remove(item);
    }

    int size();
}
