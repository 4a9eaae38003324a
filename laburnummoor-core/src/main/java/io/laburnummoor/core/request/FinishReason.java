package io.laburnummoor.core.request;

/** Why an answer ended normally. */
public enum FinishReason {
    /** The model ended the answer. */
    STOP("stop"),
    /** The answer reached its maximum number of tokens. */
    LENGTH("length");

    private final String wireName;

    FinishReason(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in messages. */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the reason with this name in messages.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static FinishReason fromWireName(String name) {
        for (FinishReason reason : values()) {
            if (reason.wireName.equals(name)) {
                return reason;
            }
        }
        throw new IllegalArgumentException("unknown finish reason " + name);
    }
}
