package io.laburnummoor.core.version;

import java.util.List;

import io.laburnummoor.core.request.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * Declaration of one organisation whose callers send forwarded requests.
 *
 * @param name name of the organisation
 * @param keys secrets by which its callers are recognised
 * @param urgency urgency of its requests, or null if none is declared
 */
public record ForwardOrganisation(String name, List<String> keys, @Nullable Urgency urgency) {
    /** Copies the keys. */
    public ForwardOrganisation {
        keys = List.copyOf(keys);
    }

    /** Leaves out the keys, which must not reach a log. */
    @Override
    public String toString() {
        return "ForwardOrganisation[name=" + name + ", keys=" + keys.size() + ", urgency=" + urgency + "]";
    }
}
