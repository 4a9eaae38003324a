package io.laburnummoor.core.request;

/**
 * Urgency of a request in relation to the other requests of its service. More urgent ones are admitted first, by the
 * gateway and by engines.
 *
 * @param level from 0, the most urgent one, to {@link #MAX_LEVEL}
 */
public record Urgency(int level) implements Comparable<Urgency> {
    /** Level of the least urgent requests. */
    public static final int MAX_LEVEL = 9;
    /** Urgency of a request for which none is declared. */
    public static final Urgency DEFAULT = new Urgency(5);

    /** Rejects a level out of range. */
    public Urgency {
        if (level < 0 || level > MAX_LEVEL) {
            throw new IllegalArgumentException("urgency level " + level);
        }
    }

    /** Returns the urgency for a declared priority, of which 0 is the highest; priorities above 9 count as 9. */
    public static Urgency ofPriority(long priority) {
        return new Urgency((int) Math.min(MAX_LEVEL, priority));
    }

    /** Orders the most urgent one first. */
    @Override
    public int compareTo(Urgency other) {
        return Integer.compare(level, other.level);
    }
}
