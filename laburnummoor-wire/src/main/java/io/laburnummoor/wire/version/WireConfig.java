package io.laburnummoor.wire.version;

import java.util.Collection;
import java.util.List;

import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.core.version.ConfigUpdate;
import io.laburnummoor.wire.generated.WireConfigDelta;
import io.laburnummoor.wire.generated.WireConfigEntry;
import io.laburnummoor.wire.generated.WireConfigSet;
import io.laburnummoor.wire.generated.WireConfigUpdate;
import org.jspecify.annotations.Nullable;

/** Translates updates to and from the messages between routers. */
public final class WireConfig {
    private static final ConfigCodec CODEC = new ConfigCodec();

    private WireConfig() {}

    /** Returns the message of an update. */
    public static WireConfigUpdate encode(ConfigUpdate update) {
        WireConfigUpdate message = new WireConfigUpdate(
                update.revision(),
                update.deltas().stream().map(WireConfig::encode).toList());
        ConfigState full = update.full();
        if (full != null) {
            message.setFull(new WireConfigSet(
                    full.revision(), full.operationId(), encode(full.entries().values())));
        }
        return message;
    }

    /**
     * Returns the update of a message.
     *
     * @throws io.laburnummoor.core.LaburnummoorException with code {@code unreadable_format} if this process does not
     *     know the format of an entry
     */
    public static ConfigUpdate decode(WireConfigUpdate message) {
        WireConfigSet set = message.getFull();
        @Nullable
        ConfigState full =
                set == null ? null : ConfigState.of(set.getRevision(), set.getOperationId(), decode(set.getEntries()));
        return new ConfigUpdate(
                message.getRevision(),
                message.getDeltas().stream().map(WireConfig::decode).toList(),
                full);
    }

    private static WireConfigDelta encode(ConfigDelta delta) {
        return new WireConfigDelta(
                delta.revision(), delta.operationId(), delta.digest(), encode(delta.changed()), delta.removedKeys());
    }

    private static ConfigDelta decode(WireConfigDelta message) {
        return new ConfigDelta(
                message.getRevision(),
                message.getOperationId(),
                message.getDigest(),
                decode(message.getChanged()),
                message.getRemovedKeys());
    }

    private static List<WireConfigEntry> encode(Collection<ConfigEntry> entries) {
        return entries.stream()
                .map(entry -> new WireConfigEntry(entry.key(), entry.text()))
                .toList();
    }

    private static List<ConfigEntry> decode(List<WireConfigEntry> entries) {
        return entries.stream()
                .map(entry -> CODEC.decodeEntry(entry.getKey(), entry.getText()))
                .toList();
    }
}
