package io.laburnummoor.core.process;

import io.laburnummoor.core.version.RolloutState;

/** Encodes the state of a rollout as the text that is kept in the key-value service. */
public interface RolloutStateCodec {
    /** Returns the text of a state. */
    String encode(RolloutState state);

    /** Returns the state of a text. */
    RolloutState decode(String text);
}
