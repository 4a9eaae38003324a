package io.laburnummoor.core.process;

import java.util.Collection;
import java.util.List;
import java.util.Set;

import io.laburnummoor.core.connection.RouterPeer;

/**
 * Configuration status of a process on the VM list.
 *
 * @param peer name and address of the process
 * @param answered whether it answered; the other fields are empty if not
 * @param revision configuration revision in force
 * @param digest digest of the configuration set in force
 * @param schemaVersions versions of the declaration format that it can read
 */
public record ProcessStatus(
        RouterPeer peer, boolean answered, long revision, String digest, Set<Integer> schemaVersions) {

    /** Returns the status of a process that did not answer. */
    public static ProcessStatus unreachable(RouterPeer peer) {
        return new ProcessStatus(peer, false, 0, "", Set.of());
    }

    /**
     * Returns the processes that may be unable to read the given formats. They include processes that did not answer,
     * because a process on the VM list may become reachable at any moment.
     */
    public static List<ProcessStatus> unableToRead(Collection<ProcessStatus> processes, Set<Integer> schemaVersions) {
        return processes.stream()
                .filter(process -> !process.schemaVersions.containsAll(schemaVersions))
                .toList();
    }
}
