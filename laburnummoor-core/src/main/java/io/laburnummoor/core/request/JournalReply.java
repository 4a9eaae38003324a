package io.laburnummoor.core.request;

import org.jspecify.annotations.Nullable;

/**
 * An agent's reply to a request to read, open or take over an entry.
 *
 * @param accepted whether the request took effect
 * @param found the entry after a read or an accepted takeover, otherwise the conflicting entry, or null
 */
public record JournalReply(boolean accepted, @Nullable JournaledAnswer found) {}
