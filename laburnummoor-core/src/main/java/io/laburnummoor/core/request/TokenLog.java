package io.laburnummoor.core.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * An append-only list of tokens in primitive arrays: 8 bytes for each token and its text in UTF-8.
 *
 * <p>One thread appends at a time; readers pass the number of tokens that they may read.
 */
final class TokenLog {
    private static final int INITIAL_TOKENS = 64;
    private static final int INITIAL_TEXT_BYTES = 512;

    private int[] ids = new int[INITIAL_TOKENS];
    private int[] textEnds = new int[INITIAL_TOKENS];
    private byte[] text = new byte[INITIAL_TEXT_BYTES];
    private int count;

    synchronized void append(List<Token> tokens) {
        for (Token token : tokens) {
            append(token);
        }
    }

    /** Returns the first {@code tokenCount} tokens. */
    synchronized List<Token> first(int tokenCount) {
        List<Token> tokens = new ArrayList<>(tokenCount);
        int start = 0;
        for (int i = 0; i < tokenCount; i++) {
            int end = textEnds[i];
            tokens.add(new Token(ids[i], new String(text, start, end - start, StandardCharsets.UTF_8)));
            start = end;
        }
        return tokens;
    }

    /** Returns the size of the arrays in bytes. */
    synchronized long sizeBytes() {
        return (long) Integer.BYTES * (ids.length + textEnds.length) + text.length;
    }

    private void append(Token token) {
        byte[] added = token.text().getBytes(StandardCharsets.UTF_8);
        int start = count == 0 ? 0 : textEnds[count - 1];
        int end = start + added.length;
        if (count == ids.length) {
            ids = Arrays.copyOf(ids, grown(count));
            textEnds = Arrays.copyOf(textEnds, grown(count));
        }
        if (end > text.length) {
            text = Arrays.copyOf(text, Math.max(end, grown(text.length)));
        }
        System.arraycopy(added, 0, text, start, added.length);
        ids[count] = token.id();
        textEnds[count] = end;
        count++;
    }

    private static int grown(int length) {
        return length + (length >> 1);
    }
}
