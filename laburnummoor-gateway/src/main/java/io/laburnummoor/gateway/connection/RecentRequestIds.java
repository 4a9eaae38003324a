package io.laburnummoor.gateway.connection;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jspecify.annotations.Nullable;

/** Ids of the latest requests that a connection has carried. Confined to the event loop of the connection. */
final class RecentRequestIds {
    /** A late second response comes behind few others; ids are held for each of some thousand connections. */
    private static final int MAX_IDS = 4;

    /** Stands for requests whose responses have no id, such as queries. */
    private static final String NO_ID = "";

    private final Deque<String> ids = new ArrayDeque<>(MAX_IDS);

    void add(@Nullable String id) {
        if (ids.size() == MAX_IDS) {
            ids.removeFirst();
        }
        ids.addLast(id == null ? NO_ID : id);
    }

    boolean contains(@Nullable String id) {
        return ids.contains(id == null ? NO_ID : id);
    }
}
