package io.laburnummoor.core.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;

/** All entries of one revision together with their digest; immutable. */
public final class ConfigState {
    /** The state before any configuration is known. */
    public static final ConfigState EMPTY = new ConfigState(0, "", new byte[32], new TreeMap<>());

    private final long revision;
    private final String operationId;
    private final byte[] digest;
    private final TreeMap<String, ConfigEntry> entries;
    private final ConfigSet set;

    private ConfigState(long revision, String operationId, byte[] digest, TreeMap<String, ConfigEntry> entries) {
        this.revision = revision;
        this.operationId = operationId;
        this.digest = digest;
        this.entries = entries;
        this.set = new ConfigSet(
                revision,
                declarations(ServiceDeclaration.class),
                declarations(OrganisationDeclaration.class),
                declarations(VersionDeclaration.class),
                declarations(RolloutDeclaration.class));
    }

    /** Creates a state from all its entries. */
    public static ConfigState of(long revision, String operationId, Collection<ConfigEntry> entries) {
        TreeMap<String, ConfigEntry> byKey = new TreeMap<>();
        byte[] digest = new byte[EMPTY.digest.length];
        for (ConfigEntry entry : entries) {
            byKey.put(entry.key(), entry);
        }
        byKey.values().forEach(entry -> combine(digest, entry));
        return new ConfigState(revision, operationId, digest, byKey);
    }

    /** Returns the revision; a higher one is newer. */
    public long revision() {
        return revision;
    }

    /** Returns the id of the operation that created this revision. */
    public String operationId() {
        return operationId;
    }

    /** Returns the digest of all entries in hexadecimal. */
    public String digest() {
        return Hex.encodeHexString(digest);
    }

    /** Returns the entries by key, in the order of the keys. */
    public Map<String, ConfigEntry> entries() {
        return Collections.unmodifiableMap(entries);
    }

    public ConfigSet set() {
        return set;
    }

    /** Returns the delta from this state to the next revision, which has the given entries. */
    public ConfigDelta deltaTo(Collection<ConfigEntry> target, String nextOperationId) {
        ConfigState next = of(revision + 1, nextOperationId, target);
        List<ConfigEntry> changed = next.entries.values().stream()
                .filter(entry -> !hasSameText(entry))
                .toList();
        List<String> removed = entries.keySet().stream()
                .filter(key -> !next.entries.containsKey(key))
                .toList();
        return new ConfigDelta(next.revision, nextOperationId, next.digest(), changed, removed);
    }

    /** Returns the state after a delta, or null if the revision or the resulting digest of the delta does not match. */
    public @Nullable ConfigState apply(ConfigDelta delta) {
        if (delta.revision() != revision + 1) {
            return null;
        }
        TreeMap<String, ConfigEntry> next = new TreeMap<>(entries);
        byte[] nextDigest = digest.clone();
        for (String key : delta.removedKeys()) {
            combine(nextDigest, next.remove(key));
        }
        for (ConfigEntry entry : delta.changed()) {
            combine(nextDigest, next.put(entry.key(), entry));
            combine(nextDigest, entry);
        }
        if (!Hex.encodeHexString(nextDigest).equals(delta.digest())) {
            return null;
        }
        return new ConfigState(delta.revision(), delta.operationId(), nextDigest, next);
    }

    private boolean hasSameText(ConfigEntry entry) {
        ConfigEntry own = entries.get(entry.key());
        return own != null && own.text().equals(entry.text());
    }

    /**
     * Adds an entry to a digest, or removes an entry that it contains. The digest is the XOR of the SHA-256 digests of
     * all entries, so that a change costs two hashes regardless of the number of entries. It detects accidental
     * differences only; it does not protect against forged entries.
     */
    private static void combine(byte[] digest, @Nullable ConfigEntry entry) {
        if (entry == null) {
            return;
        }
        byte[] hash = DigestUtils.sha256((entry.key() + '\n' + entry.text()).getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < digest.length; i++) {
            digest[i] ^= hash[i];
        }
    }

    private <T> List<T> declarations(Class<T> type) {
        List<T> found = new ArrayList<>();
        for (ConfigEntry entry : entries.values()) {
            if (type.isInstance(entry.declaration())) {
                found.add(type.cast(entry.declaration()));
            }
        }
        return found;
    }
}
