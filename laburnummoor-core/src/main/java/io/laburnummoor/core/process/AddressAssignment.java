package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.connection.UpstreamInstance;
import org.jspecify.annotations.Nullable;

/**
 * Decides which of the incarnations that are listed with one address has it: the one that was started last, or listed
 * last where a start time is unknown. The others get no requests until its entry is dropped. The order of the entries
 * alone does not decide, because the store may list an ended incarnation again after its successor. Used by the
 * registry's thread only.
 */
final class AddressAssignment {
    private final Predicate<String> isServiceKnown;
    private final InstanceRegistry.Listener listener;
    /** Incarnations listed with an address, in the order in which they were listed. */
    private final Map<String, List<InstanceState>> listedByAddress = new HashMap<>();

    AddressAssignment(Predicate<String> isServiceKnown, InstanceRegistry.Listener listener) {
        this.isServiceKnown = isServiceKnown;
        this.listener = listener;
    }

    void add(InstanceState state) {
        List<InstanceState> listed =
                listedByAddress.computeIfAbsent(state.instance().address(), key -> new ArrayList<>());
        listed.add(state);
        assign(listed);
    }

    void remove(InstanceState state) {
        String address = state.instance().address();
        List<InstanceState> listed = listedByAddress.get(address);
        if (listed == null) {
            return;
        }
        listed.remove(state);
        if (listed.isEmpty()) {
            listedByAddress.remove(address);
        } else {
            assign(listed);
        }
    }

    private void assign(List<InstanceState> listed) {
        InstanceState holder = holderOf(listed);
        for (InstanceState each : listed) {
            if (holder == null || each == holder) {
                each.setSuperseded(false);
            } else if (each.setSuperseded(true)) {
                listener.superseded(each.instance(), holder.instance());
            }
        }
    }

    /** Entries of services that nobody configured may come from another writer and prove nothing. */
    private @Nullable InstanceState holderOf(List<InstanceState> listed) {
        InstanceState holder = null;
        for (InstanceState each : listed) {
            if (isServiceKnown.test(each.instance().service())
                    && (holder == null || !wasStartedBefore(each.instance(), holder.instance()))) {
                holder = each;
            }
        }
        return holder;
    }

    private static boolean wasStartedBefore(UpstreamInstance instance, UpstreamInstance other) {
        return instance.startedAtMillis() > 0 && instance.startedAtMillis() < other.startedAtMillis();
    }
}
