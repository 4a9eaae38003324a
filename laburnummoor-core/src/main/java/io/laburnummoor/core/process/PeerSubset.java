package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the routers that get one message. Each message goes to a different random subset, so that in a large fleet no
 * router is always left out and what a lost message held arrives with a later one.
 */
public final class PeerSubset {
    private PeerSubset() {}

    /** Returns at most the given number of elements, each with the same probability. */
    public static <T> List<T> select(List<T> all, int maximum, RandomGenerator random) {
        if (all.size() <= maximum) {
            return all;
        }
        List<T> shuffled = new ArrayList<>(all);
        for (int i = 0; i < maximum; i++) {
            int other = i + random.nextInt(shuffled.size() - i);
            T swapped = shuffled.set(i, shuffled.get(other));
            shuffled.set(other, swapped);
        }
        return List.copyOf(shuffled.subList(0, maximum));
    }
}
