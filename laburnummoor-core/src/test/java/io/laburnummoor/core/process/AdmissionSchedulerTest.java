package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.AdmissionTicket;
import io.laburnummoor.core.request.Priority;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against exceeded limits, starved callers or priority classes, and requests that are never decided. */
class AdmissionSchedulerTest {
    private static final AdmissionPolicy POLICY = new AdmissionPolicy(2_000, 30_000, 50);

    private final Limits limits = new Limits();
    private final AdmissionScheduler scheduler = new AdmissionScheduler(limits, POLICY);
    private final List<Recorder> granted = new ArrayList<>();
    private final List<Recorder> refused = new ArrayList<>();
    private final List<Recorder> submitted = new ArrayList<>();
    private long nowMillis = 1_000;

    /** Guards against more running requests than a limit allows, and against requests that are never decided. */
    @Property(seed = "20261204", tries = 400)
    void keepsLimitsAndDecidesEveryRequest(@ForAll @Size(min = 20, max = 200) List<Integer> actions) {
        new AdmissionSchedulerTest().runActions(actions);
    }

    private void runActions(List<Integer> actions) {
        for (int action : actions) {
            step(Math.abs(action % 1_000_003));
            for (Recorder each : submitted) {
                assertThat(each.decisions, lessThanOrEqualTo(1));
            }
        }
        nowMillis += POLICY.maxBatchWaitMillis();
        scheduler.tick(nowMillis);
        for (Recorder each : submitted) {
            assertThat("decided once", each.decisions, is(1));
        }
        assertThat(scheduler.waitingCount(), is(0));
        assertThat(scheduler.runningCount(), is(granted.size()));
    }

    private void step(int action) {
        switch (action % 6) {
            case 0, 1, 2 -> submit(
                    "organisation-" + action % 3,
                    "caller-" + action % 5,
                    Priority.values()[action / 7 % 3],
                    1 + action % 900);
            case 3 -> {
                if (!granted.isEmpty()) {
                    scheduler.release(granted.remove(action % granted.size()).ticket, action % 100, nowMillis);
                }
            }
            case 4 -> {
                nowMillis += action % 700;
                scheduler.tick(nowMillis);
                for (Recorder each : submitted) {
                    long waitMillis = nowMillis - each.submittedAtMillis;
                    if (each.decisions == 0) {
                        assertThat(waitMillis, lessThan(POLICY.maxWaitMillis(each.ticket.priority())));
                    }
                }
            }
            default -> limits.service = 1 + action % 10;
        }
    }

    /** Guards against a caller that floods its organisation's queue and starves the other callers. */
    @ParameterizedTest
    @CsvSource({"1, 256", "4, 256", "1, 64", "4, 1024"})
    void givesCallersOfAnOrganisationFairTurns(int others, int tokens) {
        limits.service = 1;
        submit("office", "flooder", Priority.INTERACTIVE, tokens);
        for (int i = 0; i < 30; i++) {
            submit("office", "flooder", Priority.INTERACTIVE, tokens);
        }
        for (int i = 0; i < others; i++) {
            submit("office", "caller-" + i, Priority.INTERACTIVE, tokens);
        }
        int turns = 0;
        while (granted.stream().noneMatch(each -> each.ticket.caller().equals("caller-" + (others - 1)))) {
            scheduler.release(granted.remove(0).ticket, tokens, nowMillis);
            turns++;
        }
        // In each round the flooder spends one quantum, as every other caller does.
        int perRound = (int) Math.max(1, AdmissionScheduler.QUANTUM_TOKENS / tokens);
        assertThat(turns, lessThanOrEqualTo((others + 1) * perRound));
    }

    /** Guards against batch requests that are starved by interactive ones. */
    @Test
    void givesBatchOneTurnInEight() {
        limits.service = 1;
        submit("office", "first", Priority.INTERACTIVE, 10);
        submit("office", "batch", Priority.BATCH, 10);
        for (int i = 0; i < 20; i++) {
            submit("office", "person", Priority.INTERACTIVE, 10);
        }
        int turns = 0;
        while (granted.get(0).ticket.priority() != Priority.BATCH) {
            scheduler.release(granted.remove(0).ticket, 10, nowMillis);
            turns++;
        }
        assertThat(turns, lessThanOrEqualTo(AdmissionScheduler.BATCH_GRANT_INTERVAL));
    }

    /** Guards against queueing requests that cannot start in time, and against a wrong error code. */
    @ParameterizedTest
    @CsvSource({"1, 100, 100000, OVERLOADED", "100, 1, 100000, LIMIT_EXCEEDED", "100, 100, 10, LIMIT_EXCEEDED"})
    void refusesEarlyWithTheEstimatedWait(int service, int organisation, double rate, ErrorCode expected) {
        limits.service = service;
        limits.organisation = organisation;
        limits.tokensPerSecond = rate;
        submit("office", "caller", Priority.INTERACTIVE, 100);
        nowMillis += 5_000;
        scheduler.release(granted.remove(0).ticket, 100, nowMillis);
        submit("office", "caller", Priority.INTERACTIVE, 100);
        nowMillis += 10;
        submit("office", "caller", Priority.INTERACTIVE, 100);
        Recorder last = submitted.get(2);
        assertThat(last.code, equalTo(expected));
        assertThat(last.retryAfterMillis, greaterThan(2_000L));
    }

    /** Guards against new requests that overtake resumed ones, and against unlimited resumptions. */
    @Test
    void letsResumedRequestsExceedTheServiceByAQuarter() {
        limits.service = 8;
        for (int i = 0; i < 9; i++) {
            submit("office", "caller", Priority.INTERACTIVE, 10);
        }
        for (int i = 0; i < 4; i++) {
            submit("office", "caller", Priority.RESUMED, 10);
        }
        assertThat(granted.size(), is(10));
        scheduler.release(granted.remove(0).ticket, 10, nowMillis);
        assertThat(granted.get(granted.size() - 1).ticket.priority(), is(Priority.RESUMED));
    }

    /** Guards against a burst of starts that exceeds the token rate of the organisation. */
    @Test
    void keepsTheTokenRateOverTime() {
        limits.tokensPerSecond = 100;
        int started = 0;
        for (int second = 0; second < 60; second++) {
            nowMillis += 1_000;
            scheduler.tick(nowMillis);
            submit("office", "caller", Priority.BATCH, 50);
            submit("office", "caller", Priority.BATCH, 50);
            submit("office", "caller", Priority.BATCH, 50);
            started += granted.size();
            granted.forEach(each -> scheduler.release(each.ticket, 50, nowMillis));
            granted.clear();
        }
        assertThat(started * 50, lessThanOrEqualTo(61 * 100 + 50));
        assertThat(started * 50, greaterThanOrEqualTo(55 * 100));
    }

    private void submit(String organisation, String caller, Priority priority, int tokens) {
        Recorder recorder = new Recorder(organisation, caller, priority, tokens);
        submitted.add(recorder);
        scheduler.submit(recorder.ticket, nowMillis);
    }

    private static final class Limits implements AdmissionLimits {
        private int service = 4;
        private int organisation = 3;
        private double tokensPerSecond = 1_000_000;

        @Override
        public int serviceConcurrency(String name) {
            return service;
        }

        @Override
        public int organisationConcurrency(String name) {
            // Unlimited for the office unless a test sets a limit; the property test uses other organisations.
            return name.equals("office") && organisation == 3 ? 1_000 : organisation;
        }

        @Override
        public double organisationTokensPerSecond(String name) {
            return tokensPerSecond;
        }
    }

    /** Counts decisions and checks each grant against the running requests that the test knows. */
    private final class Recorder implements AdmissionTicket.Listener {
        private final AdmissionTicket ticket;
        private final long submittedAtMillis = nowMillis;
        private int decisions;
        private @Nullable ErrorCode code;
        private long retryAfterMillis;

        Recorder(String organisation, String caller, Priority priority, int tokens) {
            ticket = new AdmissionTicket("drafter", organisation, caller, priority, tokens, this);
        }

        @Override
        public void onGranted() {
            decisions++;
            Map<String, Integer> running = new HashMap<>();
            granted.forEach(each -> running.merge(each.ticket.organisation(), 1, Integer::sum));
            boolean resumed = ticket.priority() == Priority.RESUMED;
            int serviceLimit = limits.service + (resumed ? Math.max(1, limits.service / 4) : 0);
            assertThat(granted.size(), lessThan(serviceLimit));
            if (!resumed) {
                int organisationLimit = limits.organisationConcurrency(ticket.organisation());
                assertThat(running.getOrDefault(ticket.organisation(), 0), lessThan(organisationLimit));
            }
            granted.add(this);
        }

        @Override
        public void onRefused(ErrorCode reason, String detail, long afterMillis) {
            decisions++;
            code = reason;
            retryAfterMillis = afterMillis;
            refused.add(this);
        }
    }
}
