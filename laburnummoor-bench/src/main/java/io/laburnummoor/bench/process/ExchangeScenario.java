package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.connection.RouterDemand;
import io.laburnummoor.core.process.DemandTable;
import io.laburnummoor.wire.connection.DigestCodec;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Runs the demand tables of many routers in one thread and one simulated clock, with the encoded size of real messages:
 * bytes per second and router, rounds until shares have settled after the demand of all organisations moves, and the
 * greatest sum of shares in between.
 */
final class ExchangeScenario implements Scenario {
    private static final int[] ROUTERS = {4, 25, 100, 400};
    private static final int[] ORGANISATIONS = {10, 100};
    private static final int PEERS_PER_ROUND = 2;
    private static final int MAX_DEMANDS = 64;
    private static final int SETTLING_ROUNDS = 40;
    private static final long ROUND_MILLIS = 1_000;
    /** Frame header, and TCP and IP headers of a request and its acknowledgement. */
    private static final int OVERHEAD_BYTES = 4 + 2 * 40;

    private static final int MAX_BYTES_PER_SECOND = 10_000;
    private static final double MAX_SHARE_SUM = 2.0;
    private static final double SETTLED_DIFFERENCE = 0.1;

    @Override
    public ScenarioResult run(long seed) throws Exception {
        ObjectNode figures = HttpStandIn.MAPPER.createObjectNode();
        ArrayNode runs = figures.putArray("runs");
        long violations = 0;
        for (int routers : ROUTERS) {
            for (int organisations : ORGANISATIONS) {
                Outcome outcome = new Simulation(routers, organisations, new SplittableRandom(seed)).run();
                runs.addObject()
                        .put("routers", routers)
                        .put("organisations_above_floor", organisations)
                        .put("sent_bytes_per_second_and_router", outcome.bytesPerSecond)
                        .put("settled_after_rounds", outcome.settledRounds)
                        .put("greatest_share_sum", outcome.greatestSum);
                violations += outcome.bytesPerSecond > MAX_BYTES_PER_SECOND ? 1 : 0;
                violations += outcome.greatestSum > MAX_SHARE_SUM ? 1 : 0;
            }
        }
        figures.put("bound_bytes_per_second", MAX_BYTES_PER_SECOND).put("bound_share_sum", MAX_SHARE_SUM);
        return new ScenarioResult(violations, violations == 0, figures);
    }

    private record Outcome(long bytesPerSecond, int settledRounds, double greatestSum) {}

    private static final class Simulation {
        private final SplittableRandom random;
        private final int organisations;
        private final List<DemandTable> tables = new ArrayList<>();
        private final List<Map<Long, Integer>> demands = new ArrayList<>();
        private final TSerializer serializer;
        private long sentBytes;
        private int round;
        private double greatestSum;

        Simulation(int routers, int organisations, SplittableRandom random) throws TException {
            this.random = random;
            this.organisations = organisations;
            this.serializer = new TSerializer(new TCompactProtocol.Factory());
            for (int i = 0; i < routers; i++) {
                tables.add(new DemandTable("router-" + i));
                demands.add(new HashMap<>());
            }
        }

        Outcome run() throws TException {
            moveDemand();
            runRounds(SETTLING_ROUNDS);
            greatestSum = 0;
            sentBytes = 0;
            moveDemand();
            int settled = runRounds(SETTLING_ROUNDS);
            return new Outcome(sentBytes / SETTLING_ROUNDS / tables.size(), settled, greatestSum);
        }

        /** Each organisation is busy on four random routers. */
        private void moveDemand() {
            demands.forEach(Map::clear);
            for (int i = 0; i < organisations; i++) {
                for (int router = 0; router < 4; router++) {
                    demands.get(random.nextInt(tables.size()))
                            .put(DemandTable.organisationKey("organisation-" + i), 20 + random.nextInt(60));
                }
            }
        }

        /** Returns the number of rounds until all shares were near their final values. */
        private int runRounds(int count) throws TException {
            int settled = count;
            for (int i = 1; i <= count; i++) {
                runRound();
                if (settled == count && isSettled()) {
                    settled = i;
                }
            }
            return settled;
        }

        private void runRound() throws TException {
            round++;
            long nowMillis = round * ROUND_MILLIS;
            for (int i = 0; i < tables.size(); i++) {
                DemandTable table = tables.get(i);
                table.startRound(demands.get(i), tables.size(), nowMillis, nowMillis);
                for (int peer = 0; peer < PEERS_PER_ROUND; peer++) {
                    DemandTable other = tables.get(random.nextInt(tables.size()));
                    if (other != table) {
                        List<RouterDemand> request = send(i, table);
                        List<RouterDemand> reply = send(i, other);
                        other.merge(request, nowMillis);
                        table.merge(reply, nowMillis);
                    }
                }
            }
            for (int i = 0; i < organisations; i++) {
                long key = DemandTable.organisationKey("organisation-" + i);
                double sum =
                        tables.stream().mapToDouble(each -> each.share(key)).sum();
                greatestSum = Math.max(greatestSum, sum);
            }
        }

        private List<RouterDemand> send(int router, DemandTable from) throws TException {
            List<RouterDemand> rumours = from.takeAnnouncements(MAX_DEMANDS);
            sentBytes += OVERHEAD_BYTES
                    + serializer.serialize(DigestCodec.encode("router-" + router, 1, rumours, List.of())).length;
            return rumours;
        }

        private boolean isSettled() {
            for (int i = 0; i < organisations; i++) {
                long key = DemandTable.organisationKey("organisation-" + i);
                double total = demands.stream()
                        .mapToInt(each -> each.getOrDefault(key, 0))
                        .sum();
                for (int router = 0; router < tables.size(); router++) {
                    double wanted =
                            Math.max(1.0 / tables.size(), demands.get(router).getOrDefault(key, 0) / total);
                    if (Math.abs(tables.get(router).share(key) - wanted) > SETTLED_DIFFERENCE) {
                        return false;
                    }
                }
            }
            return true;
        }
    }
}
