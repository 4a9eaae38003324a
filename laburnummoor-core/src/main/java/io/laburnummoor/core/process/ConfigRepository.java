package io.laburnummoor.core.process;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.core.version.ConfigTextCodec;
import org.jspecify.annotations.Nullable;

/**
 * The configuration history in the store, read by routers and written by the operators' {@link ConfigPublisher}.
 *
 * <p>The head {@code config/head} contains the newest delta itself, so one compare-and-swap publishes a revision
 * atomically. The same text is copied to {@code config/delta/<rev>} before a later revision replaces the head; every
 * 100 revisions the full set is stored as {@code config/set/<rev>}. Both copies are derived only from the accepted
 * history, so any process may write them and repeated writes change nothing.
 */
public final class ConfigRepository {
    /** Key of the newest delta. */
    public static final String HEAD_KEY = "config/head";

    private static final String DELTA_PREFIX = "config/delta/";
    private static final String SET_PREFIX = "config/set/";
    private static final String PART_PREFIX = "config/part/";
    private static final long SET_INTERVAL_REVISIONS = 100;

    private final KeyValueStore store;
    private final ConfigTextCodec texts;
    private final LargeValues largeValues;

    /** Creates a repository on a store. */
    public ConfigRepository(KeyValueStore store, ConfigTextCodec texts) {
        this.store = store;
        this.texts = texts;
        this.largeValues = new LargeValues(store);
    }

    /** Returns the head, or null before the first revision. */
    public @Nullable Head head() {
        VersionedValue value = store.get(HEAD_KEY);
        return value == null ? null : decodeHead(value);
    }

    /** Waits until the version of the head differs from the known one; returns null on timeout. */
    public @Nullable Head watchHead(long knownVersion, long timeoutMillis) {
        VersionedValue value = store.watch(HEAD_KEY, knownVersion, timeoutMillis);
        return value == null ? null : decodeHead(value);
    }

    /** Returns the delta that produced a revision below the head. */
    public ConfigDelta delta(long revision) {
        VersionedValue value = store.get(DELTA_PREFIX + revision);
        if (value == null) {
            throw new LaburnummoorException(ErrorCode.INTERNAL, "delta of revision " + revision + " does not exist");
        }
        return texts.decodeDelta(largeValues.load(value.value()));
    }

    /**
     * Loads the state at the head, starting from the given older state or, if that is far behind, from a stored set.
     */
    public ConfigState load(Head head, ConfigState known) {
        ConfigState state = known;
        long headRevision = head.delta().revision();
        if (headRevision - known.revision() > SET_INTERVAL_REVISIONS) {
            state = readNearestSet(headRevision, known);
        }
        while (state.revision() < headRevision) {
            long next = state.revision() + 1;
            ConfigState following = state.apply(next == headRevision ? head.delta() : delta(next));
            if (following == null) {
                throw new LaburnummoorException(
                        ErrorCode.INTERNAL, "delta of revision " + next + " cannot be applied to the set before it");
            }
            state = following;
        }
        return state;
    }

    /**
     * Replaces the head with the delta of the next revision.
     *
     * @param before head that the delta follows, or null for the first revision
     * @return whether the head was replaced; if the call throws, {@link #isAccepted} tells whether the delta was
     *     accepted
     */
    boolean replaceHead(@Nullable Head before, ConfigState stateBefore, ConfigDelta delta) {
        if (before != null) {
            store.compareAndSwap(DELTA_PREFIX + before.delta().revision(), KeyValueStore.ABSENT, before.storedText());
            storeSetIfDue(stateBefore);
        }
        String text = largeValues.store(PART_PREFIX + delta.operationId(), texts.encodeDelta(delta));
        long expectedVersion = before == null ? KeyValueStore.ABSENT : before.version();
        return store.compareAndSwap(HEAD_KEY, expectedVersion, text) != KeyValueStore.ABSENT;
    }

    /** Returns whether the history contains the given delta. */
    boolean isAccepted(ConfigDelta delta) {
        Head head = head();
        if (head == null || head.delta().revision() < delta.revision()) {
            return false;
        }
        ConfigDelta accepted = head.delta().revision() == delta.revision() ? head.delta() : delta(delta.revision());
        return accepted.operationId().equals(delta.operationId());
    }

    private void storeSetIfDue(ConfigState state) {
        long revision = state.revision();
        if (revision % SET_INTERVAL_REVISIONS == 0 && store.get(SET_PREFIX + revision) == null) {
            String text = largeValues.store(SET_PREFIX + revision + "/part", texts.encodeState(state));
            store.compareAndSwap(SET_PREFIX + revision, KeyValueStore.ABSENT, text);
        }
    }

    private ConfigState readNearestSet(long headRevision, ConfigState known) {
        long first = (headRevision - 1) / SET_INTERVAL_REVISIONS * SET_INTERVAL_REVISIONS;
        for (long revision = first; revision > known.revision(); revision -= SET_INTERVAL_REVISIONS) {
            VersionedValue value = store.get(SET_PREFIX + revision);
            if (value != null) {
                return texts.decodeState(largeValues.load(value.value()));
            }
        }
        return known;
    }

    private Head decodeHead(VersionedValue value) {
        return new Head(value.version(), value.value(), texts.decodeDelta(largeValues.load(value.value())));
    }

    /**
     * The head as read from the store.
     *
     * @param version version of the key
     * @param storedText value of the key
     * @param delta newest delta
     */
    public record Head(long version, String storedText, ConfigDelta delta) {}
}
