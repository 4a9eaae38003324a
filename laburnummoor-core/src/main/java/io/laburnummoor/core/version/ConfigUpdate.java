package io.laburnummoor.core.version;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Reply to a process that has an older configuration revision.
 *
 * @param revision latest revision of the replying process
 * @param deltas consecutive deltas after the requester's revision; empty if none exist or are stored any more
 * @param full the complete state if the deltas are not stored any more, otherwise null
 */
public record ConfigUpdate(long revision, List<ConfigDelta> deltas, @Nullable ConfigState full) {}
