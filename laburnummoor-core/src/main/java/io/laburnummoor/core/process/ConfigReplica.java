package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.core.version.ConfigUpdate;

/**
 * A router's copy of the configuration, with the most recent deltas to serve to peers. The copy only advances to higher
 * revisions, by a delta that applies to it or by a full set. The configuration follower updates it while threads that
 * serve peers read it.
 */
public final class ConfigReplica {
    /**
     * At 33,000 changes a day this covers about 11 minutes; a process that was disconnected for longer gets a full set.
     */
    private static final int MAX_DELTAS = 256;
    /** Bounds the memory of the retained deltas and the size of a reply. */
    private static final int MAX_DELTA_CHARS = 1_000_000;

    private final Snapshot<Copy> copy = new Snapshot<>(new Copy(ConfigState.EMPTY, List.of()));

    public ConfigState state() {
        return copy.get().state;
    }

    /** Accepts a full set if its revision is higher; returns whether it was accepted. */
    public boolean accept(ConfigState candidate) {
        Copy before = copy.update(old -> old.withState(candidate));
        return candidate.revision() > before.state.revision();
    }

    /**
     * Applies a peer's update.
     *
     * @return whether the peer's revision is reached; if not, a full set is needed
     */
    public boolean accept(ConfigUpdate update) {
        if (update.full() != null) {
            accept(update.full());
        }
        update.deltas().forEach(delta -> copy.update(old -> old.withDelta(delta)));
        return state().revision() >= update.revision();
    }

    /** Applies one delta; returns whether its revision is reached. */
    public boolean accept(ConfigDelta delta) {
        return accept(new ConfigUpdate(delta.revision(), List.of(delta), null));
    }

    /** Returns the update that brings a peer from the given revision to the revision of this copy. */
    public ConfigUpdate updateSince(long revision) {
        Copy now = copy.get();
        long own = now.state.revision();
        if (revision >= own) {
            return new ConfigUpdate(own, List.of(), null);
        }
        List<ConfigDelta> deltas =
                now.deltas.stream().filter(delta -> delta.revision() > revision).toList();
        return deltas.size() == own - revision
                ? new ConfigUpdate(own, deltas, null)
                : new ConfigUpdate(own, List.of(), now.state);
    }

    private static int sizeChars(ConfigDelta delta) {
        return delta.changed().stream().mapToInt(entry -> entry.text().length()).sum();
    }

    private record Copy(ConfigState state, List<ConfigDelta> deltas) {
        Copy withState(ConfigState candidate) {
            return candidate.revision() > state.revision() ? new Copy(candidate, List.of()) : this;
        }

        Copy withDelta(ConfigDelta delta) {
            ConfigState next = state.apply(delta);
            if (next == null) {
                return this;
            }
            List<ConfigDelta> kept = new ArrayList<>(deltas);
            kept.add(delta);
            int total = kept.stream().mapToInt(ConfigReplica::sizeChars).sum();
            while (kept.size() > MAX_DELTAS || total > MAX_DELTA_CHARS) {
                total -= sizeChars(kept.remove(0));
            }
            return new Copy(next, List.copyOf(kept));
        }
    }
}
