package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Selects the routers of a fleet that read the store; the others read the changes from one of them. The store's load
 * then grows with the square root of the fleet. All routers select alike from the list of live routers, without an
 * election; while their lists differ, a router only reads from one that does not expect it.
 */
public final class StoreReaders {
    /** Fleets up to this size read the store alone; the loss of some readers leaves others. */
    static final int MIN_READERS = 5;

    private static final String RANKING_KEY = "store-readers";

    private StoreReaders() {}

    /** Returns the routers that read the store. */
    public static List<String> of(Collection<String> routers) {
        int count = Math.max(MIN_READERS, (int) Math.ceil(Math.sqrt(routers.size())));
        return RendezvousHash.top(RANKING_KEY, routers, count);
    }

    /**
     * Returns the routers that a router may read from, in order of preference; empty if it reads the store itself.
     *
     * @param router name of the router
     * @param others names of the other live routers
     */
    public static List<String> sourcesOf(String router, Collection<String> others) {
        List<String> all = new ArrayList<>(others);
        all.add(router);
        List<String> readers = of(all);
        return readers.contains(router) ? List.of() : RendezvousHash.rank(router, readers, name -> name);
    }
}
