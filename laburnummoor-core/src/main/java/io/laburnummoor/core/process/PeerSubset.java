package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Selects the routers that get one message. Each message goes to a different random subset, so that in a large fleet no
 * router is always left out and what a lost message held arrives with a later one.
 */
public final class PeerSubset {
    private PeerSubset() {}

    /** Returns at most the given number of elements in random order, each with the same probability. */
    public static <T> List<T> select(Collection<T> all, int maximum, Random random) {
        List<T> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(maximum, shuffled.size()));
    }
}
