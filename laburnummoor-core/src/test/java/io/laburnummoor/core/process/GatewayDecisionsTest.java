package io.laburnummoor.core.process;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against a gateway that exceeds its retry budget, treats a stale configuration as fresh, or treats the failure
 * of one upstream as the outage of a failure domain.
 */
final class GatewayDecisionsTest {
    @ParameterizedTest(name = "{0} requests, {1} routers")
    @CsvSource({"0, 1, 127", "100, 1, 195", "100, 5, 93", "1000, 3, 722"})
    void retriesStayWithinThisRoutersShareOfTheBudget(int requests, int routers, int allowed) {
        WindowedRetryBudget budget =
                new WindowedRetryBudget(new WindowedRetryBudget.Bound(0.8, 150, 10_000), () -> routers);
        for (int i = 0; i < requests; i++) {
            budget.recordRequest("drafter", i % 1_000);
        }
        int taken = 0;
        while (taken < 10_000 && budget.tryRetry("drafter", 1_000)) {
            taken++;
        }

        assertThat(taken, is(allowed));
        assertThat((double) taken * routers, lessThanOrEqualTo(0.8 * requests * routers + 150));
    }

    @ParameterizedTest(name = "monotonic +{0} ms, wall +{1} ms")
    @CsvSource({
        "0, 0, true",
        "3000, 3000, true",
        "3850, 3850, true",
        "3851, 3851, false",
        "0, 6000, false",
        "4000, -9000, false"
    })
    void theLargerOfBothClocksDecidesOnFreshness(long monotonicMillis, long wallMillis, boolean fresh) {
        AtomicLong monotonic = new AtomicLong(1_000);
        AtomicLong wall = new AtomicLong(50_000);
        ConfigFreshness freshness = new ConfigFreshness(monotonic::get, wall::get);
        assertThat(freshness.isWithinRevocationBound(5_000), is(false));
        freshness.confirmRead(freshness.startRead());

        monotonic.addAndGet(monotonicMillis);
        wall.addAndGet(wallMillis);

        assertThat(freshness.isWithinRevocationBound(5_000), is(fresh));
    }

    @ParameterizedTest(name = "{0} then {1} after {2} ms")
    @CsvSource({"a, a, 10, false", "a, b, 10, true", "a, b, 499, true", "a, b, 900, false"})
    void twoUpstreamsThatFailTogetherMakeTheDomainSuspect(
            String first, String second, long apartMillis, boolean suspect) {
        DomainOutageDetector outages = new DomainOutageDetector();
        outages.record("drafter", "sapporo", first, 1_000);
        outages.record("drafter", "sapporo", second, 1_000 + apartMillis);

        assertThat(outages.isSuspect("drafter", "sapporo", 1_001 + apartMillis), is(suspect));
        assertThat(outages.isSuspect("gatedesk", "sapporo", 1_001 + apartMillis), is(false));
        assertThat(outages.isSuspect("drafter", "sapporo", 9_000), is(false));
    }
}
