package io.laburnummoor.gateway.process;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.process.CapacityLedger;
import io.laburnummoor.core.process.GuardedTask;
import io.laburnummoor.core.process.ReturningRequests;
import io.laburnummoor.core.process.ServiceLoad;
import io.laburnummoor.core.process.StartEstimator;
import io.laburnummoor.core.process.WaitPolicy;
import io.laburnummoor.core.process.WaitingQueue;
import io.laburnummoor.core.request.WaitRefusal;
import io.laburnummoor.core.request.WaitingRequest;
import io.laburnummoor.core.version.ForwardConfig;
import io.laburnummoor.core.version.ForwardService;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;

/**
 * Requests of this router that wait for a place on an upstream. Whether a request must wait is read from atomics and
 * published snapshots by any thread; the queue is confined to one event loop.
 *
 * <p>One place of a service is granted at a time: the next one when the request has been counted as load of its
 * upstream, or has not used the place. Otherwise, several requests would be granted the same place.
 */
public final class AdmissionQueue {
    private static final int MAX_WAITING = 1_000;
    /** The rest of the memory for requests is left to those that find room. */
    private static final int BUDGET_PART = 2;
    /** Refused requests whose callers may come back; a few hundred bytes each. */
    private static final int MAX_RETURNING = 4_096;
    /** A granted place that is not used within this time is granted again. */
    private static final long GRANT_MILLIS = 50;
    /** A place may become free without a notice to this router; it is looked for this often within a goal. */
    private static final int CHECKS_PER_GOAL = 8;

    private static final long MIN_CHECK_MILLIS = 10;
    private static final long MAX_CHECK_MILLIS = 250;
    /** Short, since another router can serve the request immediately. */
    private static final long RETRY_AFTER_STOP_MILLIS = 50;

    private final GatewayState state;
    private final CapacityLedger ledger;
    private final WaitLog log;
    private final GatewayMetrics metrics;
    private final Clock clock;
    private final EventLoop loop;
    private final ConcurrentHashMap<String, ServiceAdmission> services = new ConcurrentHashMap<>();

    private final WaitingQueue queue;
    private final ReturningRequests returning = new ReturningRequests(MAX_RETURNING);
    private final Map<WaitingRequest, WaitTicket> tickets = new IdentityHashMap<>();

    /** Creates an empty queue that runs on one of the event loops of the process. */
    public AdmissionQueue(
            GatewayState state,
            CapacityLedger ledger,
            DecisionLog log,
            GatewayMetrics metrics,
            Clock clock,
            EventLoopGroup loops) {
        this.state = state;
        this.ledger = ledger;
        this.log = new WaitLog(log, metrics);
        this.metrics = metrics;
        this.clock = clock;
        this.loop = loops.next();
        this.queue = new WaitingQueue(MAX_WAITING, state.requestBudget().limitBytes() / BUDGET_PART);
        state.setChangeListener(this::onStateChanged);
        metrics.reportFreeSlots(this::freeSlotsByService);
    }

    /**
     * Returns whether a request has to wait: others wait before it, or no upstream has room while one may get some. A
     * service waits only if its upstreams report their pace.
     */
    public boolean mustWait(ForwardService service, long tokens) {
        if (!applies(service.name())) {
            return false;
        }
        long now = clock.nowMillis();
        List<InstanceState> upstreams = state.instances().ofService(service.name());
        ServiceAdmission known = services.get(service.name());
        boolean othersWait = known != null && known.waitingCount().get() > 0;
        return (othersWait || !ledger.hasRoom(upstreams, service, tokens, now)) && ServiceLoad.mayOpen(upstreams, now);
    }

    private boolean applies(String service) {
        ServiceAdmission known = services.get(service);
        return known != null && known.isPaceReported();
    }

    /** Starts a wait, whose end the listener of the ticket is told. */
    public void enter(WaitTicket ticket) {
        ServiceAdmission service = admissionOf(ticket.facts().service());
        service.waitingCount().incrementAndGet();
        ticket.enter(service, clock.nowMillis());
        execute(() -> decide(ticket, service));
    }

    /** Ends a wait whose request is no longer to be sent; the place that it may have been granted is granted again. */
    public void leave(WaitTicket ticket) {
        execute(() -> {
            close(ticket, WaitOutcome.LEFT);
            endGrant(ticket);
        });
    }

    /** Reports that a granted place is used: the request counts as load of its upstream. */
    public void placeUsed(WaitTicket ticket) {
        execute(() -> endGrant(ticket));
    }

    private void endGrant(WaitTicket ticket) {
        ServiceAdmission service = ticket.service();
        if (service != null && service.endGrant(ticket)) {
            service.waitingCount().decrementAndGet();
            dispatch(service);
        }
    }

    /** Records that a request has ended that ran on an upstream of a service. */
    public void requestEnded(ForwardService service, long runMillis) {
        if (applies(service.name())) {
            ServiceAdmission admission = admissionOf(service);
            admission.estimator().recordEnd(runMillis, clock.nowMillis());
            scheduleDispatch(admission);
        }
    }

    /** Records that an upstream of a service has responded, possibly with its load and its pace. */
    public void upstreamResponded(String service, boolean withPace) {
        ServiceAdmission admission = services.get(service);
        if (admission == null && withPace) {
            ForwardConfig config = state.config();
            ForwardService declared = config == null ? null : config.service(service);
            admission = declared == null ? null : admissionOf(declared);
        }
        if (admission != null) {
            if (withPace) {
                admission.recordPaceReported();
            }
            scheduleDispatch(admission);
        }
    }

    /** Refuses all waiting requests, since the process stops. Those that would have to wait later are refused, too. */
    public void refuseAll() {
        execute(() -> {
            for (WaitingRequest each : queue.removeAll()) {
                WaitTicket ticket = tickets.get(each);
                if (ticket != null) {
                    refuse(ticket, WaitRefusal.STOPPING, RETRY_AFTER_STOP_MILLIS);
                }
            }
        });
    }

    private void decide(WaitTicket ticket, ServiceAdmission service) {
        WaitTicket.Facts facts = ticket.facts();
        long now = clock.nowMillis();
        service.updateService(facts.service());
        if (ticket.isClosed()) {
            return;
        }
        if (state.isDraining()) {
            refuse(ticket, WaitRefusal.STOPPING, RETRY_AFTER_STOP_MILLIS);
            return;
        }
        WaitingRequest request = newRequest(ticket, now);
        ServiceLoad load = loadOf(service, now);
        int ahead = queue.countAhead(request);
        long startIn = startInMillis(service, request, ahead, load, now);
        long run = service.estimator().meanRunMillis();
        long remaining = facts.deadlineMillis() - now;
        double draw = ThreadLocalRandom.current().nextDouble();
        WaitPolicy.Decision decision =
                WaitPolicy.decide(startIn, run, remaining, facts.goalMillis(), now - facts.arrivedAtMillis(), draw);
        log.decided(
                facts,
                new WaitLog.Inputs(load, queue.sizeOf(facts.service().name()), ahead, startIn, run, now),
                decision);
        if (decision.isRefused()) {
            refuse(ticket, WaitRefusal.TOO_LATE, decision.retryAfterMillis());
        } else if (decision.maxWaitMillis() == 0) {
            endWait(ticket);
        } else {
            add(
                    ticket,
                    request,
                    decision.maxWaitMillis(),
                    WaitPolicy.retryAfterMillis(
                            startIn == StartEstimator.UNKNOWN_MILLIS ? facts.goalMillis() : startIn, remaining, draw));
            dispatch(service);
        }
    }

    /** Nothing is predicted, and so nothing refused, if a place is free although others waited a moment ago. */
    private long startInMillis(
            ServiceAdmission service, WaitingRequest request, int ahead, ServiceLoad load, long now) {
        boolean placeFree = ahead == 0 && !service.isGrantOpen() && request.tokens() <= load.roomTokens();
        return placeFree
                ? StartEstimator.UNKNOWN_MILLIS
                : service.estimator().startInMillis(ahead, load.runningCount(), state.routerCount(), now);
    }

    private WaitingRequest newRequest(WaitTicket ticket, long now) {
        WaitTicket.Facts facts = ticket.facts();
        long since = returning.recall(facts.fingerprint(), facts.arrivedAtMillis(), now);
        return new WaitingRequest(
                facts.service().name(),
                facts.urgency(),
                facts.organisation(),
                facts.caller(),
                facts.tokens(),
                since,
                since + facts.goalMillis(),
                facts.bytes());
    }

    private void add(WaitTicket ticket, WaitingRequest request, long maxWaitMillis, long retryAfterMillis) {
        WaitingRequest turnedAway = queue.add(request);
        if (turnedAway == request) {
            refuse(ticket, WaitRefusal.QUEUE_FULL, retryAfterMillis);
            return;
        }
        tickets.put(request, ticket);
        ticket.queued(request, loop.schedule(guarded(() -> endWait(ticket)), maxWaitMillis, TimeUnit.MILLISECONDS));
        WaitTicket displaced = turnedAway == null ? null : tickets.get(turnedAway);
        if (displaced != null) {
            refuse(displaced, WaitRefusal.DISPLACED, retryAfterOf(displaced));
        }
        metrics.waitingRequests(request.urgency(), queue.sizeOf(request.urgency()));
    }

    private long retryAfterOf(WaitTicket ticket) {
        WaitTicket.Facts facts = ticket.facts();
        return WaitPolicy.retryAfterMillis(
                facts.goalMillis(),
                facts.deadlineMillis() - clock.nowMillis(),
                ThreadLocalRandom.current().nextDouble());
    }

    /** Removes a ticket from the queue; returns false if its wait has ended before. */
    private boolean close(WaitTicket ticket, WaitOutcome outcome) {
        if (!ticket.close()) {
            return false;
        }
        ServiceAdmission service = ticket.service();
        // A request that was granted a place counts until it uses it, so that no later one takes the place.
        if (service != null && outcome != WaitOutcome.GRANTED) {
            service.waitingCount().decrementAndGet();
        }
        WaitingRequest request = ticket.waiting();
        if (request != null) {
            tickets.remove(request);
            queue.remove(request);
            metrics.waitingRequests(request.urgency(), queue.sizeOf(request.urgency()));
        }
        log.ended(ticket.facts(), outcome, clock.nowMillis() - ticket.enteredAtMillis());
        return true;
    }

    private void refuse(WaitTicket ticket, WaitRefusal refusal, long retryAfterMillis) {
        if (close(ticket, WaitOutcome.REFUSED)) {
            WaitTicket.Facts facts = ticket.facts();
            WaitingRequest request = ticket.waiting();
            long now = clock.nowMillis();
            // A caller that comes back twice as late as told has given up the request.
            returning.remember(
                    facts.fingerprint(),
                    request == null ? facts.arrivedAtMillis() : request.sinceMillis(),
                    Math.max(facts.deadlineMillis(), now + 2 * retryAfterMillis),
                    now);
            log.refused(facts, refusal, retryAfterMillis);
            ticket.listener().onRefused(refusal, retryAfterMillis);
        }
    }

    private void endWait(WaitTicket ticket) {
        if (close(ticket, WaitOutcome.SENT_UNPLACED)) {
            ticket.listener().onWaitEnded();
        }
    }

    private void scheduleDispatch(ServiceAdmission service) {
        if (service.waitingCount().get() > 0 && service.dispatchScheduled().compareAndSet(false, true)) {
            execute(() -> dispatch(service));
        }
    }

    /** Grants a place if one is free and none is granted whose use has not been reported. */
    private void dispatch(ServiceAdmission service) {
        service.dispatchScheduled().set(false);
        String name = service.service().name();
        if (service.isGrantOpen() || queue.sizeOf(name) == 0) {
            return;
        }
        long now = clock.nowMillis();
        ServiceLoad load = loadOf(service, now);
        WaitingRequest next = queue.grant(name, load.roomTokens());
        WaitTicket ticket = next == null ? null : tickets.get(next);
        if (ticket != null && close(ticket, WaitOutcome.GRANTED)) {
            service.startGrant(
                    ticket, loop.schedule(guarded(() -> leave(ticket)), GRANT_MILLIS, TimeUnit.MILLISECONDS));
            ticket.listener().onGranted();
        }
        scheduleBackup(service, load);
    }

    /**
     * Looks again later if requests still wait: when an upstream ends its pause, and at times that differ between
     * routers, since a place on an upstream may have become free that only other routers have used.
     */
    private void scheduleBackup(ServiceAdmission service, ServiceLoad load) {
        WaitingRequest next = queue.oldestOf(service.service().name());
        if (next == null || service.isBackupPending()) {
            return;
        }
        long goalMillis = next.goalAtMillis() - next.sinceMillis();
        long interval = Math.max(MIN_CHECK_MILLIS, Math.min(MAX_CHECK_MILLIS, goalMillis / CHECKS_PER_GOAL));
        long spread = ThreadLocalRandom.current().nextLong(interval);
        long delay = Math.min(interval / 2 + spread, load.nextOpeningMillis());
        service.setBackupTimer(loop.schedule(
                guarded(() -> {
                    service.setBackupTimer(null);
                    dispatch(service);
                }),
                Math.max(1, delay),
                TimeUnit.MILLISECONDS));
    }

    private void onStateChanged() {
        ForwardConfig config = state.config();
        services.entrySet()
                .removeIf(each -> config != null
                        && config.service(each.getKey()) == null
                        && each.getValue().waitingCount().get() == 0);
        services.values().forEach(this::scheduleDispatch);
    }

    private ServiceLoad loadOf(ServiceAdmission service, long now) {
        return loadOf(service.service(), now);
    }

    private ServiceLoad loadOf(ForwardService service, long now) {
        return ServiceLoad.of(state.instances().ofService(service.name()), service, ledger, now);
    }

    private ServiceAdmission admissionOf(ForwardService service) {
        ServiceAdmission known = services.get(service.name());
        return known != null ? known : services.computeIfAbsent(service.name(), added -> new ServiceAdmission(service));
    }

    private Map<String, Integer> freeSlotsByService() {
        ForwardConfig config = state.config();
        Map<String, Integer> freeSlots = new HashMap<>();
        if (config != null) {
            long now = clock.nowMillis();
            for (String each : config.serviceNames()) {
                ForwardService service = config.service(each);
                if (service != null) {
                    freeSlots.put(each, loadOf(service, now).freeSlots());
                }
            }
        }
        return freeSlots;
    }

    private void execute(Runnable task) {
        // A loop that ends has no connections left whose requests could wait.
        if (!loop.isShuttingDown()) {
            loop.execute(guarded(task));
        }
    }

    private Runnable guarded(Runnable task) {
        return new GuardedTask(task, log::fault);
    }
}
