package io.laburnummoor.core;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * A shared value that is read without a lock and replaced by a changed copy (read-copy-update).
 *
 * <pre>{@code
 * Snapshot<Map<String, Integer>> limits = new Snapshot<>(Map.of());
 * limits.replace(Map.of("drafter", 25));
 * int limit = limits.get().getOrDefault("drafter", 0);
 * }</pre>
 *
 * @param <T> immutable type of the value
 */
public final class Snapshot<T> {
    private final AtomicReference<T> reference;

    /** Creates a snapshot with an initial value. */
    public Snapshot(T initial) {
        this.reference = new AtomicReference<>(Objects.requireNonNull(initial));
    }

    public T get() {
        return Objects.requireNonNull(reference.get());
    }

    /** Replaces the value unconditionally. */
    public void replace(T value) {
        reference.set(Objects.requireNonNull(value));
    }

    /**
     * Replaces the value by a changed copy. The function may be called several times if another thread replaces the
     * value concurrently, so it must not have side effects.
     *
     * @return the value before the change
     */
    public T update(UnaryOperator<T> change) {
        return Objects.requireNonNull(reference.getAndUpdate(change));
    }
}
