package io.laburnummoor.core.process;

import io.laburnummoor.core.version.RolloutState;

/** Encodes the state of a rollout as the text that is stored. */
public interface RolloutStateCodec {
    /** Encodes a state. */
    String encode(RolloutState state);

    /** Decodes a state. */
    RolloutState decode(String text);
}
