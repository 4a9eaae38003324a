package io.laburnummoor.core.process;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import io.laburnummoor.core.connection.RouterPeer;

/**
 * What a live process says about its configuration.
 *
 * @param peer name and place of the process
 * @param answered whether it answered; the other fields are empty if not
 * @param revision revision in force
 * @param digest digest of the set in force
 * @param schemaVersions versions of the declarations' format that it reads
 */
public record ProcessStatus(
        RouterPeer peer, boolean answered, long revision, String digest, Set<Integer> schemaVersions) {

    /** Returns the status of a process that did not answer. */
    public static ProcessStatus unreachable(RouterPeer peer) {
        return new ProcessStatus(peer, false, 0, "", Set.of());
    }

    /**
     * Returns the processes that may not be able to read the given formats. A process that does not answer is among
     * them, because it is on the VM list and may come back at any moment.
     */
    public static List<ProcessStatus> unableToRead(Collection<ProcessStatus> processes, Set<Integer> schemaVersions) {
        return processes.stream()
                .filter(process -> !process.schemaVersions.containsAll(schemaVersions))
                .toList();
    }
}
