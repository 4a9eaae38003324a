package io.laburnummoor.core.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.AdmissionTicket;
import io.laburnummoor.core.request.Priority;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests start, wait or are refused: a deterministic state machine without a clock or locks, whose
 * events must arrive one at a time (see {@link AdmissionController}).
 *
 * <p>Resumed requests have precedence and may exceed a service's concurrency by a quarter. Interactive requests precede
 * batch requests, except that one grant in eight goes to a batch request while any waits. Organisations are served
 * round robin by request, the callers of one organisation by deficit round robin over the tokens that they request.
 */
public final class AdmissionScheduler {
    /** While a batch request waits, one grant in this many goes to a batch request, to prevent starvation. */
    static final int BATCH_GRANT_INTERVAL = 8;
    /** Tokens that a caller may request in each round; fewer than usual requests ask for, so that rounds are short. */
    static final long QUANTUM_TOKENS = 32;

    /** Resumed requests may exceed a service's concurrency by its quotient with this divisor, at least by 1. */
    private static final int RESUMED_EXCESS_DIVISOR = 4;

    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    /** The latest run time has a weight of 1/16 in the moving average. */
    private static final int RUN_TIME_WEIGHT_SHIFT = 4;

    private final AdmissionLimits limits;
    private final AdmissionPolicy policy;
    private final Map<String, ServiceQueue> services = new HashMap<>();
    private final Map<String, OrganisationUsage> usages = new HashMap<>();
    private final Map<AdmissionTicket, Long> waitingDeadlinesMillis = new LinkedHashMap<>();
    private final Map<AdmissionTicket, Long> grantedAtMillis = new HashMap<>();

    /** Creates a scheduler without requests. */
    public AdmissionScheduler(AdmissionLimits limits, AdmissionPolicy policy) {
        this.limits = limits;
        this.policy = policy;
    }

    /** Starts a request, queues it, or refuses it because its estimated wait or the queue is too long. */
    public void submit(AdmissionTicket ticket, long nowMillis) {
        ServiceQueue service = services.computeIfAbsent(ticket.service(), added -> new ServiceQueue());
        service.add(ticket);
        long maxWaitMillis = policy.maxWaitMillis(ticket.priority());
        waitingDeadlinesMillis.put(ticket, nowMillis + maxWaitMillis);
        dispatch(ticket.service(), service, nowMillis);
        if (!waitingDeadlinesMillis.containsKey(ticket)) {
            return;
        }
        long serviceWaitMillis = estimateServiceMillis(service, ticket);
        long organisationWaitMillis = estimateOrganisationMillis(service, ticket, nowMillis);
        long waitMillis = Math.max(serviceWaitMillis, organisationWaitMillis);
        if (waitMillis > maxWaitMillis || waitingDeadlinesMillis.size() > policy.maxQueued()) {
            refuse(ticket, organisationWaitMillis > serviceWaitMillis, waitMillis);
        }
    }

    /** Releases a granted request that has ended after generating the given number of tokens. */
    public void release(AdmissionTicket ticket, int generatedTokens, long nowMillis) {
        Long startMillis = grantedAtMillis.remove(ticket);
        if (startMillis == null) {
            return;
        }
        ServiceQueue service = services.computeIfAbsent(ticket.service(), added -> new ServiceQueue());
        service.runningCount--;
        service.recordRunTime(nowMillis - startMillis);
        OrganisationUsage usage = usage(ticket, nowMillis);
        usage.runningCount--;
        usage.tokens += Math.max(0, ticket.tokens() - generatedTokens);
        dispatchAll(nowMillis);
    }

    /** Starts requests that changed limits admit and refuses those whose deadline has passed. */
    public void tick(long nowMillis) {
        dispatchAll(nowMillis);
        List<AdmissionTicket> expired = new ArrayList<>();
        waitingDeadlinesMillis.forEach((ticket, deadlineMillis) -> {
            if (nowMillis >= deadlineMillis) {
                expired.add(ticket);
            }
        });
        for (AdmissionTicket each : expired) {
            boolean limitedByOrganisation = !usage(each, nowMillis).isBelowLimit(each.organisation());
            refuse(each, limitedByOrganisation, MIN_RETRY_AFTER_MILLIS);
        }
        usages.entrySet()
                .removeIf(each -> each.getValue().isIdle(each.getKey())
                        && waitingDeadlinesMillis.keySet().stream()
                                .noneMatch(ticket -> ticket.organisation().equals(each.getKey())));
    }

    /** Refuses all waiting requests because the process is stopping. */
    public void refuseAll() {
        for (AdmissionTicket each : List.copyOf(waitingDeadlinesMillis.keySet())) {
            remove(each);
            each.listener().onRefused(ErrorCode.STOPPING, "this router is stopping", MIN_RETRY_AFTER_MILLIS);
        }
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        return waitingDeadlinesMillis.size();
    }

    /** Returns the number of granted requests that have not ended. */
    public int runningCount() {
        return grantedAtMillis.size();
    }

    /** Calls the consumers with the number of running and waiting requests of each organisation and service. */
    public void forEachDemand(ObjIntConsumer<String> organisationConsumer, ObjIntConsumer<String> serviceConsumer) {
        Map<String, Integer> byOrganisation = new HashMap<>();
        Map<String, Integer> byService = new HashMap<>();
        for (AdmissionTicket each : waitingDeadlinesMillis.keySet()) {
            byOrganisation.merge(each.organisation(), 1, Integer::sum);
            byService.merge(each.service(), 1, Integer::sum);
        }
        for (AdmissionTicket each : grantedAtMillis.keySet()) {
            byOrganisation.merge(each.organisation(), 1, Integer::sum);
            byService.merge(each.service(), 1, Integer::sum);
        }
        byOrganisation.forEach(organisationConsumer::accept);
        byService.forEach(serviceConsumer::accept);
    }

    private void dispatchAll(long nowMillis) {
        services.forEach((name, queue) -> dispatch(name, queue, nowMillis));
    }

    private void dispatch(String name, ServiceQueue queue, long nowMillis) {
        int capacity = limits.serviceConcurrency(name);
        while (true) {
            AdmissionTicket next = queue.next(capacity, nowMillis);
            if (next == null) {
                return;
            }
            waitingDeadlinesMillis.remove(next);
            grantedAtMillis.put(next, nowMillis);
            queue.runningCount++;
            OrganisationUsage usage = usage(next, nowMillis);
            usage.runningCount++;
            usage.tokens -= next.tokens();
            next.listener().onGranted();
        }
    }

    private void refuse(AdmissionTicket ticket, boolean limitedByOrganisation, long waitMillis) {
        remove(ticket);
        long retryAfterMillis = Math.max(waitMillis, MIN_RETRY_AFTER_MILLIS);
        if (limitedByOrganisation) {
            ticket.listener()
                    .onRefused(
                            ErrorCode.LIMIT_EXCEEDED,
                            "the organisation has reached its concurrency or token rate limit",
                            retryAfterMillis);
        } else {
            ticket.listener()
                    .onRefused(
                            ErrorCode.OVERLOADED,
                            "the router is overloaded: its queue is full or the request would wait too long",
                            retryAfterMillis);
        }
    }

    private void remove(AdmissionTicket ticket) {
        waitingDeadlinesMillis.remove(ticket);
        ServiceQueue queue = services.get(ticket.service());
        if (queue != null) {
            queue.remove(ticket);
        }
    }

    /**
     * Estimates the wait for a slot of the service: the requests served before this one, round robin by organisation,
     * times the average run time.
     */
    private long estimateServiceMillis(ServiceQueue service, AdmissionTicket ticket) {
        int capacity = Math.max(1, limits.serviceConcurrency(ticket.service()));
        long ahead = service.aheadInOrganisation(ticket);
        ClassQueue queue = service.classQueue(ticket.priority());
        long aheadInClass = Math.min(queue.size, (ahead + 1) * queue.byOrganisation.size());
        long aheadInHigherClass = ticket.priority() == Priority.BATCH ? service.interactive.size : 0;
        return (aheadInClass + aheadInHigherClass) * service.averageRunMillis / capacity;
    }

    /** Estimates the wait until the organisation is below its concurrency and token rate limits. */
    private long estimateOrganisationMillis(ServiceQueue service, AdmissionTicket ticket, long nowMillis) {
        OrganisationUsage usage = usage(ticket, nowMillis);
        long waitMillis = 0;
        int limit = Math.max(1, limits.organisationConcurrency(ticket.organisation()));
        if (usage.runningCount >= limit) {
            waitMillis = (service.aheadInOrganisation(ticket) + 1) * service.averageRunMillis / limit;
        }
        if (usage.tokens <= 0) {
            double rate = Math.max(1, limits.organisationTokensPerSecond(ticket.organisation()));
            waitMillis = Math.max(waitMillis, (long) (-usage.tokens / rate * 1_000) + 1);
        }
        return waitMillis;
    }

    private OrganisationUsage usage(AdmissionTicket ticket, long nowMillis) {
        return usage(ticket.organisation(), nowMillis);
    }

    private OrganisationUsage usage(String organisation, long nowMillis) {
        OrganisationUsage usage =
                usages.computeIfAbsent(organisation, added -> new OrganisationUsage(added, nowMillis));
        usage.refill(organisation, nowMillis);
        return usage;
    }

    /**
     * Running requests and token bucket of an organisation. At its start, a request is charged the greatest number of
     * tokens that it may generate; at its end, the unused ones are credited. A burst of starts thus cannot exceed the
     * rate.
     */
    private final class OrganisationUsage {
        private int runningCount;
        private double tokens;
        private long refilledAtMillis;

        OrganisationUsage(String organisation, long nowMillis) {
            tokens = limits.organisationTokensPerSecond(organisation);
            refilledAtMillis = nowMillis;
        }

        /** Refills the token bucket, whose capacity is the tokens of one second. */
        void refill(String organisation, long nowMillis) {
            double rate = limits.organisationTokensPerSecond(organisation);
            tokens = Math.min(rate, tokens + rate * (nowMillis - refilledAtMillis) / 1_000);
            refilledAtMillis = nowMillis;
        }

        boolean isBelowLimit(String organisation) {
            return runningCount < limits.organisationConcurrency(organisation) && tokens > 0;
        }

        boolean isIdle(String organisation) {
            return runningCount == 0 && tokens >= limits.organisationTokensPerSecond(organisation);
        }
    }

    /** Waiting requests of one service by priority class, and the number and average duration of its running ones. */
    private final class ServiceQueue {
        private final ArrayDeque<AdmissionTicket> resumed = new ArrayDeque<>();
        private final ClassQueue interactive = new ClassQueue();
        private final ClassQueue batch = new ClassQueue();
        private int runningCount;
        private int grantsSinceBatch;
        private long averageRunMillis;

        void add(AdmissionTicket ticket) {
            if (ticket.priority() == Priority.RESUMED) {
                resumed.addLast(ticket);
            } else {
                classQueue(ticket.priority()).add(ticket);
            }
        }

        void remove(AdmissionTicket ticket) {
            if (ticket.priority() == Priority.RESUMED) {
                resumed.remove(ticket);
            } else {
                classQueue(ticket.priority()).remove(ticket);
            }
        }

        ClassQueue classQueue(Priority priority) {
            return priority == Priority.BATCH ? batch : interactive;
        }

        /**
         * Returns how many requests of the organisation are served first: round robin serves each other caller at most
         * as often as this caller has requests waiting.
         */
        long aheadInOrganisation(AdmissionTicket ticket) {
            DeficitRoundRobin<AdmissionTicket, FifoQueue<AdmissionTicket>> callers =
                    classQueue(ticket.priority()).byOrganisation.get(ticket.organisation());
            if (callers == null) {
                return 0;
            }
            return Math.min(callers.size() - 1, (long) callers.sizeOf(ticket.caller()) * callers.keyCount());
        }

        /** Removes and returns the next request that may start, or null if there is none. */
        @Nullable
        AdmissionTicket next(int capacity, long nowMillis) {
            if (!resumed.isEmpty() && runningCount < capacity + resumedExcess(capacity)) {
                return resumed.removeFirst();
            }
            if (runningCount >= capacity) {
                return null;
            }
            boolean batchTurn = grantsSinceBatch >= BATCH_GRANT_INTERVAL - 1;
            AdmissionTicket first = (batchTurn ? batch : interactive).poll(nowMillis);
            AdmissionTicket next = first != null ? first : (batchTurn ? interactive : batch).poll(nowMillis);
            if (next != null) {
                grantsSinceBatch = next.priority() == Priority.BATCH || batch.size == 0 ? 0 : grantsSinceBatch + 1;
            }
            return next;
        }

        /**
         * Returns the slots beyond the capacity for resumed requests, limited so that the sum cannot overflow when the
         * capacity is unlimited.
         */
        private int resumedExcess(int capacity) {
            return Math.min(Integer.MAX_VALUE - capacity, Math.max(1, capacity / RESUMED_EXCESS_DIVISOR));
        }

        void recordRunTime(long millis) {
            averageRunMillis = averageRunMillis == 0
                    ? millis
                    : averageRunMillis + ((millis - averageRunMillis) >> RUN_TIME_WEIGHT_SHIFT);
        }
    }

    /** The waiting requests of one priority class, served round robin by organisation. */
    private final class ClassQueue {
        private final Map<String, DeficitRoundRobin<AdmissionTicket, FifoQueue<AdmissionTicket>>> byOrganisation =
                new LinkedHashMap<>();
        private int size;

        void add(AdmissionTicket ticket) {
            byOrganisation
                    .computeIfAbsent(
                            ticket.organisation(),
                            added -> new DeficitRoundRobin<>(
                                    QUANTUM_TOKENS, AdmissionTicket::tokens, AdmissionTicket::caller, FifoQueue::new))
                    .add(ticket);
            size++;
        }

        void remove(AdmissionTicket ticket) {
            DeficitRoundRobin<AdmissionTicket, FifoQueue<AdmissionTicket>> callers =
                    byOrganisation.get(ticket.organisation());
            if (callers == null) {
                return;
            }
            callers.remove(ticket);
            size--;
            if (callers.size() == 0) {
                byOrganisation.remove(ticket.organisation());
            }
        }

        /**
         * Removes a request of the first organisation below its limits and moves that organisation behind the others.
         */
        @Nullable
        AdmissionTicket poll(long nowMillis) {
            for (Map.Entry<String, DeficitRoundRobin<AdmissionTicket, FifoQueue<AdmissionTicket>>> each :
                    byOrganisation.entrySet()) {
                String organisation = each.getKey();
                if (!usage(organisation, nowMillis).isBelowLimit(organisation)) {
                    continue;
                }
                DeficitRoundRobin<AdmissionTicket, FifoQueue<AdmissionTicket>> callers = each.getValue();
                AdmissionTicket next = callers.poll();
                size--;
                byOrganisation.remove(organisation);
                if (callers.size() > 0) {
                    byOrganisation.put(organisation, callers);
                }
                return next;
            }
            return null;
        }
    }
}
