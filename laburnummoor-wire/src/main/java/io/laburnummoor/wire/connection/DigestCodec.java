package io.laburnummoor.wire.connection;

import java.util.List;

import io.laburnummoor.core.connection.CrashRecord;
import io.laburnummoor.core.connection.RouterDemand;
import io.laburnummoor.core.process.CrashSuspect;
import io.laburnummoor.wire.generated.CrashMessage;
import io.laburnummoor.wire.generated.DemandMessage;
import io.laburnummoor.wire.generated.Digest;
import io.laburnummoor.wire.generated.SuspectMessage;

/** Converts what routers tell each other. */
public final class DigestCodec {
    private DigestCodec() {}

    /** Returns the message of a router. */
    public static Digest encode(
            String router, long configRevision, List<RouterDemand> demands, List<CrashSuspect> suspects) {
        return new Digest(
                router,
                configRevision,
                demands.stream()
                        .map(each -> new DemandMessage(each.router(), each.sequence(), each.demandByKey()))
                        .toList(),
                suspects.stream().map(DigestCodec::encode).toList());
    }

    /** Returns the announcements of demand in a message. */
    public static List<RouterDemand> demands(Digest digest) {
        return digest.getDemands().stream()
                .map(each -> new RouterDemand(each.getRouter(), each.getSequence(), each.getDemandByKey()))
                .toList();
    }

    /** Returns the suspects in a message. */
    public static List<CrashSuspect> suspects(Digest digest) {
        return digest.getSuspects().stream().map(DigestCodec::decode).toList();
    }

    static SuspectMessage encode(CrashSuspect suspect) {
        List<CrashMessage> crashes = suspect.crashes().stream()
                .map(each -> new CrashMessage(each.upstreamId(), each.crashedAtMillis(), each.isolated()))
                .toList();
        return new SuspectMessage(suspect.fingerprint(), crashes, suspect.clearedAtMillis(), suspect.deadlineMillis());
    }

    static CrashSuspect decode(SuspectMessage message) {
        List<CrashRecord> crashes = message.getCrashes().stream()
                .map(each -> new CrashRecord(each.getUpstreamId(), each.getCrashedAtMillis(), each.isIsolated()))
                .toList();
        return new CrashSuspect(
                message.getFingerprint(), crashes, message.getClearedAtMillis(), message.getDeadlineMillis());
    }
}
