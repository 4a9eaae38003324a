package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.StoreVersion;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the evidence about blocked prompt parts in the store, from which it returns when all routers have ended at the
 * same time. One router writes; the others write only if it has not done so in time. {@link #tick} is called
 * periodically by one thread, and {@link #apply} by the thread that follows the store.
 */
public final class PromptPartRecorder {
    /** Prefix of the keys; the rest of a key is a hash of the part's key. */
    public static final String KEY_PREFIX = "laburnummoor/quarantine/";

    /** Time that each router leaves to the one ranked before it. */
    static final long TURN_MILLIS = 1_500;
    /** Maximum number of documents, which are read at each start of a router. */
    static final int MAX_DOCUMENTS = 100;

    private final KeyValueStore store;
    private final PromptPartQuarantine quarantine;
    private final Documents documents;
    private final String router;
    private final Supplier<? extends Collection<String>> otherRouters;
    private final Clock clock;
    private final ConcurrentHashMap<String, Stored> storedByKey = new ConcurrentHashMap<>();
    private final Map<String, Long> dueSinceMillis = new HashMap<>();
    /** Era of the store since its latest restore that this process has seen. */
    private volatile long era;

    /** Creates the recorder of a router that knows the names of the others; the clock is monotonic. */
    public PromptPartRecorder(
            KeyValueStore store,
            PromptPartQuarantine quarantine,
            Documents documents,
            String router,
            Supplier<? extends Collection<String>> otherRouters,
            Clock clock) {
        this.store = store;
        this.quarantine = quarantine;
        this.documents = documents;
        this.router = router;
        this.otherRouters = otherRouters;
        this.clock = clock;
    }

    /**
     * Records that the store was restored from an older copy, which started a new era. What the store held before
     * counts as lost unless it is read again.
     */
    public void startEra(long next) {
        era = next;
    }

    /** Applies a change of the store; a null value means that the key was removed. */
    public void apply(String key, @Nullable String value, long version) {
        if (value == null) {
            storedByKey.remove(key);
            return;
        }
        SuspectPromptPart part = documents.decode(value);
        storedByKey.put(key, new Stored(part, version));
        quarantine.merge(List.of(part));
    }

    /**
     * Writes what the store lacks and removes what no longer holds. Makes no store call while nothing is due.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code store_unavailable}
     */
    public void tick() {
        long current = era;
        storedByKey.values().removeIf(each -> StoreVersion.eraOf(each.version) < current);
        Map<String, SuspectPromptPart> blockedByKey = new HashMap<>();
        for (SuspectPromptPart each : quarantine.blockedParts()) {
            if (blockedByKey.size() < MAX_DOCUMENTS) {
                blockedByKey.put(keyOf(each), each);
            }
        }
        dueSinceMillis.keySet().removeIf(each -> !blockedByKey.containsKey(each) && !storedByKey.containsKey(each));
        blockedByKey.forEach(this::write);
        storedByKey.forEach((key, stored) -> {
            if (!blockedByKey.containsKey(key)) {
                remove(key, stored);
            }
        });
    }

    private void write(String key, SuspectPromptPart part) {
        Stored stored = storedByKey.get(key);
        SuspectPromptPart merged = stored == null ? part : stored.part.merge(part);
        if (stored != null && merged.equals(stored.part)) {
            dueSinceMillis.remove(key);
        } else if (isOwnTurn(key)) {
            long expected = stored == null ? KeyValueStore.ABSENT : stored.version;
            long version = store.compareAndSwap(key, expected, documents.encode(merged));
            if (version != KeyValueStore.ABSENT) {
                storedByKey.put(key, new Stored(merged, version));
                dueSinceMillis.remove(key);
            }
        }
    }

    private void remove(String key, Stored stored) {
        if (isOwnTurn(key) && store.delete(key, stored.version)) {
            storedByKey.remove(key, stored);
            dueSinceMillis.remove(key);
        }
    }

    private boolean isOwnTurn(String key) {
        long nowMillis = clock.nowMillis();
        List<String> routers = new ArrayList<>(otherRouters.get());
        routers.add(router);
        int rank = RendezvousHash.rank(key, routers, name -> name).indexOf(router);
        return nowMillis - dueSinceMillis.computeIfAbsent(key, first -> nowMillis) >= rank * TURN_MILLIS;
    }

    private static String keyOf(SuspectPromptPart part) {
        return KEY_PREFIX + Long.toHexString(RendezvousHash.hash(part.key()));
    }

    private record Stored(SuspectPromptPart part, long version) {}

    /** Encodes and decodes the documents in the store. */
    public interface Documents {
        /** Returns the document of a part. */
        String encode(SuspectPromptPart part);

        /**
         * Returns the part that a document describes.
         *
         * @throws io.laburnummoor.core.LaburnummoorException with code {@code unreadable_format}
         */
        SuspectPromptPart decode(String document);
    }
}
