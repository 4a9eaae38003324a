package io.laburnummoor.core.version;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What a process answers to another one that is at an older revision.
 *
 * @param revision highest revision of the answering process
 * @param deltas deltas that follow the asker's revision without a gap; empty if there are none or they are not kept
 * @param full the whole set if the deltas are not kept, otherwise null
 */
public record ConfigUpdate(long revision, List<ConfigDelta> deltas, @Nullable ConfigState full) {}
