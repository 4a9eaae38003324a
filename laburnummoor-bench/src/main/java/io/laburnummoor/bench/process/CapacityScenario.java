package io.laburnummoor.bench.process;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.JournalLoad;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.connection.UpstreamReport;
import io.laburnummoor.core.connection.UpstreamState;
import io.laburnummoor.core.process.AnswerJournal;
import io.laburnummoor.core.process.RoutingSnapshot;
import io.laburnummoor.core.process.SelectionContext;
import io.laburnummoor.core.process.UpstreamSelector;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.EpochSpan;
import io.laburnummoor.core.request.JournalAppend;
import io.laburnummoor.core.request.JournalOpenRequest;
import io.laburnummoor.core.request.RequestId;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigSet;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.core.version.OrganisationDeclaration;
import io.laburnummoor.core.version.ServiceDeclaration;
import io.laburnummoor.wire.connection.ThriftConnection;
import io.laburnummoor.wire.generated.AgentService;
import io.laburnummoor.wire.version.ConfigCodec;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Measures the slopes that the capacity page is worked out from, each at three or more sizes. */
final class CapacityScenario implements Scenario {
    private static final int[] CANDIDATE_COUNTS = {25, 100, 400, 1_000};
    private static final int[] BATCH_ITEMS = {1, 10, 100};
    private static final int[] ORGANISATION_COUNTS = {1_000, 5_000, 19_000};
    private static final int[] TOKEN_COUNTS = {100, 1_000, 10_000};
    private static final int SELECTIONS = 50_000;
    private static final int APPENDED_TOKENS = 30_000;
    private static final int DECODES = 10;
    private static final int STATUS_CALLS = 20_000;
    private static final int JOURNALED_ANSWERS = 200;
    private static final Binding BINDING = new Binding(LocalDeployment.SERVICE, "v1", "", 1);

    private final ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();

    @Override
    public ScenarioResult run(long seed) throws Exception {
        for (int count : CANDIDATE_COUNTS) {
            measureSelection(count);
        }
        for (int count : ORGANISATION_COUNTS) {
            measureConfig(count);
        }
        for (int count : TOKEN_COUNTS) {
            measureJournalMemory(count);
        }
        EngineSettings settings = new EngineSettings("v1", 10, 10, seed);
        try (LocalDeployment deployment = new LocalDeployment(List.of("sapporo"), 1, 0, settings)) {
            deployment.start();
            Upstream upstream = deployment.engines().get(0).upstream();
            try (ThriftConnection<AgentService.Client> agent = new ThriftConnection<>(
                    upstream.host(), upstream.agentPort(), 2_000, "agent", AgentService.Client::new)) {
                measureHeartbeat(agent);
                for (int items : BATCH_ITEMS) {
                    measureAppend(agent, items);
                }
            }
        }
        return new ScenarioResult(0, true, figures);
    }

    private void measureSelection(int candidateCount) {
        List<UpstreamState> states = new ArrayList<>();
        UpstreamReport report = new UpstreamReport(1, true, 1, false, 3, 0, "v1", List.of());
        for (int i = 0; i < candidateCount; i++) {
            UpstreamState state = new UpstreamState(new Upstream(
                    "drafter-" + i, LocalDeployment.SERVICE, "domain-" + i % 18, "127.0.0.1", 1, 1, false));
            state.recordHeartbeat(report, 0);
            states.add(state);
        }
        RoutingSnapshot snapshot = new RoutingSnapshot(states);
        UpstreamSelector selector = UpstreamSelector.standard();
        Runnable selections = () -> {
            for (int i = 0; i < SELECTIONS; i++) {
                selector.select(
                        snapshot, new SelectionContext(LocalDeployment.SERVICE, "v1", "", i, null, Set.of(), 1));
            }
        };
        selections.run();
        figures.put("select_" + candidateCount + "_candidates_micros", cpuMicros(selections) / SELECTIONS);
    }

    private void measureConfig(int organisationCount) {
        List<OrganisationDeclaration> organisations = new ArrayList<>();
        for (int i = 0; i < organisationCount; i++) {
            organisations.add(new OrganisationDeclaration(
                    "organisation-" + i, List.of(DigestUtils.sha256Hex("key-" + i)), 100, 10_000));
        }
        ServiceDeclaration service =
                new ServiceDeclaration(LocalDeployment.SERVICE, ServiceDeclaration.Kind.ENGINE, "v1", List.of());
        ConfigCodec codec = new ConfigCodec();
        List<ConfigEntry> entries = codec.entries(new ConfigSet(1, List.of(service), organisations));
        String text = codec.encodeState(ConfigState.of(1, "capacity", entries));
        organisations.clear();
        entries = List.of();
        long usedBeforeBytes = usedBytes();
        ConfigState decoded = codec.decodeState(text);
        long usedAfterBytes = usedBytes();
        String prefix = "config_" + organisationCount + "_organisations_";
        figures.put(prefix + "memory_bytes", usedAfterBytes - usedBeforeBytes);
        figures.put(prefix + "text_bytes", text.length());
        Runnable decodes = () -> {
            for (int i = 0; i < DECODES; i++) {
                codec.decodeState(text);
            }
        };
        figures.put(prefix + "decode_micros", cpuMicros(decodes) / DECODES);
        ConfigDelta change = oneChange(codec, decoded);
        Runnable changes = () -> {
            for (int i = 0; i < DECODES; i++) {
                decoded.apply(change);
            }
        };
        figures.put(prefix + "change_micros", cpuMicros(changes) / DECODES);
        figures.put(prefix + "change_bytes", codec.encodeDelta(change).length());
    }

    /** Returns a delta that changes the limit of one organisation. */
    private static ConfigDelta oneChange(ConfigCodec codec, ConfigState state) {
        OrganisationDeclaration changed =
                new OrganisationDeclaration("organisation-0", List.of(DigestUtils.sha256Hex("key-0")), 200, 10_000);
        List<ConfigEntry> target = new ArrayList<>(state.entries().values());
        ConfigEntry entry =
                codec.entries(new ConfigSet(2, List.of(), List.of(changed))).get(0);
        target.removeIf(each -> each.key().equals(entry.key()));
        target.add(entry);
        return state.deltaTo(target, "change");
    }

    private void measureJournalMemory(int tokenCount) {
        AnswerJournal journal = new AnswerJournal(Long.MAX_VALUE, 1_000, () -> 0);
        long usedBeforeBytes = usedBytes();
        for (int i = 0; i < JOURNALED_ANSWERS; i++) {
            RequestId id = new RequestId("office", "key-" + i);
            journal.open(new JournalOpenRequest(
                    id, "router", BINDING, "digest", List.of(new EpochSpan(1, 0)), List.of(), true));
            for (int offset = 0; offset < tokenCount; offset++) {
                journal.append(
                        new JournalAppend(id, 1, offset, List.of(new Token(offset, new String(" word"))), null, true));
            }
        }
        long usedAfterBytes = usedBytes();
        String prefix = "journal_" + tokenCount + "_tokens_";
        figures.put(prefix + "memory_bytes_per_answer", (usedAfterBytes - usedBeforeBytes) / JOURNALED_ANSWERS);
        figures.put(prefix + "estimated_bytes_per_answer", journal.sizeBytes() / JOURNALED_ANSWERS);
    }

    private void measureHeartbeat(ThriftConnection<AgentService.Client> agent) throws TException {
        Runnable calls = () -> {
            for (int i = 0; i < STATUS_CALLS; i++) {
                agent.call(client -> client.status("router-sapporo-1"));
            }
        };
        calls.run();
        figures.put("heartbeat_both_sides_cpu_micros", cpuMicros(calls) / STATUS_CALLS);
        TSerializer serializer = new TSerializer(new TCompactProtocol.Factory());
        figures.put(
                "heartbeat_reply_bytes",
                serializer.serialize(agent.call(client -> client.status("router-sapporo-1"))).length);
    }

    private void measureAppend(ThriftConnection<AgentService.Client> agent, int itemCount) throws TException {
        JournalLoad load = new JournalLoad(agent, "batch-" + itemCount, itemCount);
        int batches = APPENDED_TOKENS / itemCount;
        Runnable appends = () -> {
            for (int i = 0; i < batches; i++) {
                load.appendOne();
            }
        };
        appends.run();
        String prefix = "append_" + itemCount + "_items_";
        figures.put(prefix + "both_sides_cpu_micros_per_batch", cpuMicros(appends) / batches);
        TSerializer serializer = new TSerializer(new TCompactProtocol.Factory());
        figures.put(prefix + "request_bytes", serializer.serialize(load.nextBatch()).length);
    }

    /** Returns the processor time of the whole JVM in microseconds that a task takes. */
    private static double cpuMicros(Runnable task) {
        com.sun.management.OperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean.class);
        long beforeNanos = system.getProcessCpuTime();
        task.run();
        return Math.round((system.getProcessCpuTime() - beforeNanos) / 10.0) / 100.0;
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
