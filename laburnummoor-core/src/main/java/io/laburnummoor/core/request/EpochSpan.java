package io.laburnummoor.core.request;

import java.util.List;

/**
 * The part of an answer that was written under one epoch.
 *
 * @param epoch epoch of the writer
 * @param startOffset offset of the first token that may have been written under this epoch
 */
public record EpochSpan(long epoch, int startOffset) {
    private static final int COUNTER_SHIFT = 32;
    private static final long NONCE_MASK = 0xffff_ffffL;

    /**
     * Returns an epoch higher than the previous one. Its low 32 bits are the writer's nonce, so that two writers that
     * follow the same epoch on different agents get different epochs.
     *
     * @param previous previous epoch, 0 for none
     */
    public static long nextEpoch(long previous, int nonce) {
        return ((previous >>> COUNTER_SHIFT) + 1) << COUNTER_SHIFT | (nonce & NONCE_MASK);
    }

    /**
     * Returns whether the tokens that a caller holds are a prefix of an answer with this history. Under an epoch that
     * was followed by another one, no token from the start offset of the next span on was delivered.
     *
     * @param history spans of the answer, oldest first
     * @param tokenCount number of tokens of the answer
     * @param position position up to which the caller holds the answer
     */
    public static boolean covers(List<EpochSpan> history, int tokenCount, ResumePosition position) {
        if (position.offset() == 0) {
            return true;
        }
        for (int i = 0; i < history.size(); i++) {
            if (history.get(i).epoch() == position.epoch()) {
                int end = i + 1 < history.size() ? history.get(i + 1).startOffset() : tokenCount;
                return position.offset() <= end;
            }
        }
        return false;
    }
}
