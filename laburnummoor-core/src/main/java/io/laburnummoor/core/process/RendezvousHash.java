package io.laburnummoor.core.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: ranks nodes for a key by highest random weight, so that a change of one node moves only that
 * node's keys.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns a 64-bit hash of a text. */
    public static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /** Returns the weight of a node for a key. */
    public static long weight(long keyHash, String node) {
        byte[] bytes = node.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, Long.hashCode(keyHash))[0];
    }

    /** Returns the weight of a node for a key from the hashes of both; equal pairs have equal weights. */
    public static long weight(long keyHash, long nodeHash) {
        long mixed = keyHash ^ Long.rotateLeft(nodeHash, 32);
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    /** Maps a hash to a number from 0 to 1. */
    public static double toUnitInterval(long hash) {
        return (hash >>> 11) * 0x1.0p-53;
    }

    /** Returns at most the given number of nodes with the highest weights for the key, in descending order. */
    public static List<String> top(String key, Collection<String> nodes, int maximum) {
        List<String> ranked = rank(key, nodes, name -> name);
        return ranked.subList(0, Math.min(maximum, ranked.size()));
    }

    /** Returns the nodes in descending order of their weight for the key. */
    public static <T> List<T> rank(String key, Collection<T> nodes, Function<T, String> name) {
        long keyHash = hash(key);
        List<T> ranked = new ArrayList<>(nodes);
        ranked.sort(Comparator.comparingLong((T node) -> weight(keyHash, name.apply(node)))
                .reversed());
        return ranked;
    }
}
