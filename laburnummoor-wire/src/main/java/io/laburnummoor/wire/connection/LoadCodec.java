package io.laburnummoor.wire.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.connection.EndedIncarnation;
import io.laburnummoor.core.connection.PromptPartCrash;
import io.laburnummoor.core.connection.ReportedPace;
import io.laburnummoor.core.connection.UpstreamLoad;
import io.laburnummoor.core.process.CrashSuspect;
import io.laburnummoor.core.process.RouterLoad;
import io.laburnummoor.core.process.SuspectPromptPart;
import io.laburnummoor.core.version.VersionCounts;
import io.laburnummoor.wire.generated.EndedLifeMessage;
import io.laburnummoor.wire.generated.PromptPartCrashMessage;
import io.laburnummoor.wire.generated.RolloutCountsMessage;
import io.laburnummoor.wire.generated.RouterLoadMessage;
import io.laburnummoor.wire.generated.SuspectPromptPartMessage;
import io.laburnummoor.wire.generated.UpstreamLoadMessage;
import io.laburnummoor.wire.generated.UpstreamPaceMessage;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Converts what gateways tell each other about upstreams to datagrams and back. */
public final class LoadCodec {
    private LoadCodec() {}

    /** Returns the bytes of a message. */
    public static byte[] encode(RouterLoad load) throws TException {
        List<UpstreamLoadMessage> loads = new ArrayList<>();
        load.loadById().forEach((id, each) -> loads.add(encode(id, each)));
        RouterLoadMessage message = new RouterLoadMessage(load.router(), load.incarnation(), load.sequence(), loads);
        load.rolloutCounts()
                .forEach((order, counts) ->
                        counts.forEach((route, each) -> message.addToRolloutCounts(new RolloutCountsMessage(
                                order,
                                route,
                                each.oldTrials(),
                                each.oldFailures(),
                                each.newTrials(),
                                each.newFailures()))));
        load.suspects().forEach(each -> message.addToSuspects(DigestCodec.encode(each)));
        load.endedIncarnations()
                .forEach(each ->
                        message.addToEndedLives(new EndedLifeMessage(each.upstreamId(), each.startedAtMillis())));
        load.suspectPromptParts().forEach(each -> message.addToSuspectPromptParts(encode(each)));
        load.paces().forEach(each -> message.addToPaces(encode(each)));
        return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
    }

    /** Returns the message in some bytes. */
    public static RouterLoad decode(byte[] bytes) throws TException {
        RouterLoadMessage message = new RouterLoadMessage();
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
        Map<String, UpstreamLoad> loads = new HashMap<>();
        for (UpstreamLoadMessage each : message.getLoads()) {
            loads.put(
                    each.getUpstreamId(),
                    new UpstreamLoad(
                            each.getInFlight(),
                            each.getPromptTokens(),
                            each.getHeldTokens(),
                            each.getLongPromptTokens()));
        }
        Map<Long, Map<String, VersionCounts>> counts = new HashMap<>();
        if (message.isSetRolloutCounts()) {
            for (RolloutCountsMessage each : message.getRolloutCounts()) {
                counts.computeIfAbsent(each.getOrderNumber(), order -> new HashMap<>())
                        .put(
                                each.getRoute(),
                                new VersionCounts(
                                        each.getOldTrials(),
                                        each.getOldFailures(),
                                        each.getNewTrials(),
                                        each.getNewFailures()));
            }
        }
        List<CrashSuspect> suspects = message.isSetSuspects()
                ? message.getSuspects().stream().map(DigestCodec::decode).toList()
                : List.of();
        List<EndedIncarnation> ended = message.isSetEndedLives()
                ? message.getEndedLives().stream()
                        .map(each -> new EndedIncarnation(each.getUpstreamId(), each.getBornMillis()))
                        .toList()
                : List.of();
        List<SuspectPromptPart> suspectParts = message.isSetSuspectPromptParts()
                ? message.getSuspectPromptParts().stream()
                        .map(LoadCodec::decode)
                        .toList()
                : List.of();
        return new RouterLoad(
                message.getRouter(),
                message.getIncarnation(),
                message.getSequence(),
                counts,
                suspects,
                suspectParts,
                ended,
                loads,
                pacesOf(message));
    }

    private static UpstreamLoadMessage encode(String id, UpstreamLoad load) {
        UpstreamLoadMessage message =
                new UpstreamLoadMessage(id, load.inFlight(), load.prefillTokens(), load.kvCacheTokens());
        if (load.longPrefillTokens() > 0) {
            message.setLongPromptTokens(load.longPrefillTokens());
        }
        return message;
    }

    private static UpstreamPaceMessage encode(ReportedPace pace) {
        UpstreamPaceMessage message =
                new UpstreamPaceMessage(pace.upstreamId(), pace.percent(), (int) pace.ageMillis());
        if (pace.measuredPercent() > 0) {
            message.setMeasuredPercent(pace.measuredPercent());
        }
        return message;
    }

    private static List<ReportedPace> pacesOf(RouterLoadMessage message) {
        return message.isSetPaces()
                ? message.getPaces().stream()
                        .map(each -> new ReportedPace(
                                each.getUpstreamId(),
                                each.getPercent(),
                                each.getMeasuredPercent(),
                                each.getAgeMillis()))
                        .toList()
                : List.of();
    }

    private static SuspectPromptPartMessage encode(SuspectPromptPart part) {
        List<PromptPartCrashMessage> crashes = part.crashes().stream()
                .map(each ->
                        new PromptPartCrashMessage(each.incarnationHash(), each.crashedAtMillis(), each.requestHash()))
                .toList();
        return new SuspectPromptPartMessage(part.key(), crashes, part.begunAtMillis());
    }

    private static SuspectPromptPart decode(SuspectPromptPartMessage message) {
        List<PromptPartCrash> crashes = message.getCrashes().stream()
                .map(each -> new PromptPartCrash(
                        each.getIncarnationHash(), each.getCrashedAtMillis(), each.getRequestHash()))
                .toList();
        return new SuspectPromptPart(message.getKey(), crashes, message.getBegunAtMillis());
    }
}
