package io.laburnummoor.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.request.AdmissionTicket;
import io.laburnummoor.core.request.SerialExecutor;

/**
 * Serialises the events of all threads for the {@link AdmissionScheduler} of a router. Generations are submitted and
 * released on any thread; the router's generation timer calls {@link #tick()}.
 *
 * <p>A thread only adds its event to a lock-free queue; the thread that finds the queue empty handles the events.
 * Decisions take microseconds and never block, so no thread waits for another.
 */
public final class AdmissionController {
    private final AdmissionScheduler scheduler;
    private final Clock clock;
    private final SerialExecutor serial;
    private final Snapshot<Demand> demand = new Snapshot<>(new Demand(Map.of(), Map.of(), 0, 0));

    /** Creates a controller without requests; unexpected failures of listeners go to the handler. */
    public AdmissionController(
            AdmissionLimits limits, AdmissionPolicy policy, Clock clock, Consumer<Throwable> failureHandler) {
        this.scheduler = new AdmissionScheduler(limits, policy);
        this.clock = clock;
        this.serial = new SerialExecutor(failureHandler);
    }

    /** Submits a request; its listener is notified of the decision, possibly before this method returns. */
    public void submit(AdmissionTicket ticket) {
        serial.execute(() -> scheduler.submit(ticket, clock.nowMillis()));
    }

    /** Releases a granted request that has ended after generating the given number of tokens. */
    public void release(AdmissionTicket ticket, int generatedTokens) {
        serial.execute(() -> scheduler.release(ticket, generatedTokens, clock.nowMillis()));
    }

    /** Admits or refuses the waiting requests that are due, and refreshes {@link #demand()}. */
    public void tick() {
        serial.execute(() -> {
            scheduler.tick(clock.nowMillis());
            Map<String, Integer> organisations = new HashMap<>();
            Map<String, Integer> services = new HashMap<>();
            scheduler.forEachDemand(organisations::put, services::put);
            demand.replace(new Demand(
                    Map.copyOf(organisations),
                    Map.copyOf(services),
                    scheduler.waitingCount(),
                    scheduler.runningCount()));
        });
    }

    /** Refuses all waiting requests because the process is stopping. */
    public void refuseAll() {
        serial.execute(scheduler::refuseAll);
    }

    /** Returns the demand at the last tick. */
    public Demand demand() {
        return demand.get();
    }

    /**
     * Counts of requests; a request counts while it waits and while it runs.
     *
     * @param organisations number of running and waiting requests by organisation
     * @param services number of running and waiting requests by service
     * @param waitingCount number of waiting requests
     * @param runningCount number of running requests
     */
    public record Demand(
            Map<String, Integer> organisations, Map<String, Integer> services, int waitingCount, int runningCount) {}
}
