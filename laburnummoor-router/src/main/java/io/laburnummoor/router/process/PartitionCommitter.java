package io.laburnummoor.router.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.process.CommitRateLimiter;
import io.laburnummoor.core.process.PartitionLeases;
import io.laburnummoor.core.process.PartitionLog;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.router.connection.ClaimHolder;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jboss.logging.Logger;

/**
 * Holds claim partitions on this router: groups the commands that all routers send for them into commits at a bounded
 * rate.
 */
public final class PartitionCommitter implements ClaimHolder, Service {
    private static final Logger LOGGER = Logger.getLogger(PartitionCommitter.class);
    private static final int COMMIT_THREADS = 8;
    /** Time after a failure of the store for which commands are answered without contacting it. */
    private static final long STORE_BACKOFF_MILLIS = 250;

    private static final long CLEANUP_INTERVAL_MILLIS = 60_000;

    private final String routerName;
    private final PartitionLeases leases;
    private final Clock clock;
    private final List<Partition> partitions = new ArrayList<>();
    private final AtomicLong storeRetryAtMillis = new AtomicLong(Long.MIN_VALUE / 2);
    private final ScheduledThreadPoolExecutor executor =
            new ScheduledThreadPoolExecutor(COMMIT_THREADS, task -> new Thread(task, "claim-commit"));
    private final PeriodicTask leaseRenewal =
            new PeriodicTask("claim-lease", PartitionLeases.RENEWAL_INTERVAL_MILLIS, this::renewLease);
    private final PeriodicTask segmentCleanup =
            new PeriodicTask("claim-drop", CLEANUP_INTERVAL_MILLIS, this::dropExpiredSegments);

    /**
     * Creates a committer.
     *
     * @param clock monotonic clock
     * @param logs creates the log of a partition
     */
    public PartitionCommitter(String routerName, PartitionLeases leases, Clock clock, IntFunction<PartitionLog> logs) {
        this.routerName = routerName;
        this.leases = leases;
        this.clock = clock;
        for (int i = 0; i < ClaimPolicy.PARTITIONS; i++) {
            partitions.add(new Partition(i, logs.apply(i)));
        }
    }

    @Override
    public void start() {
        leaseRenewal.start();
        segmentCleanup.start();
    }

    @Override
    public void stop() {
        leaseRenewal.stop();
        segmentCleanup.stop();
        executor.shutdown();
        try {
            if (!executor.awaitTermination(ClaimPolicy.CLAIM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                LOGGER.warn("router stopped before all claim commits had finished");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        leases.releaseAll();
    }

    @Override
    public Reply commit(int partition, boolean takeOver, List<ClaimRecord> commands) {
        if (clock.nowMillis() < storeRetryAtMillis.get()) {
            return new Reply(routerName, answerWithoutStore(partition, commands));
        }
        try {
            String holder = leases.acquire(partition, takeOver);
            if (!holder.equals(routerName)) {
                return new Reply(holder, List.of());
            }
        } catch (LaburnummoorException failure) {
            recordStoreOutage(failure);
            return new Reply(routerName, answerWithoutStore(partition, commands));
        }
        PendingBatch pending = new PendingBatch(commands, new CompletableFuture<>());
        partitions.get(partition).add(pending);
        try {
            return new Reply(routerName, pending.outcomes.get(ClaimPolicy.CLAIM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException failure) {
            LOGGER.warnf("outcome of a commit to claim partition %d is unknown: %s", partition, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return new Reply(routerName, unavailableOutcomes(commands));
    }

    private void recordStoreOutage(LaburnummoorException failure) {
        if (failure.errorCode() != ErrorCode.STORE_UNAVAILABLE) {
            throw failure;
        }
        storeRetryAtMillis.set(clock.nowMillis() + STORE_BACKOFF_MILLIS);
    }

    /** Answers from the last view, in the partition's task because the log is not safe for concurrent use. */
    private List<ClaimOutcome> answerWithoutStore(int partition, List<ClaimRecord> commands) {
        Partition target = partitions.get(partition);
        PendingBatch pending = new PendingBatch(commands, new CompletableFuture<>());
        target.addOffline(pending);
        return pending.outcomes
                .completeOnTimeout(
                        unavailableOutcomes(commands), ClaimPolicy.CLAIM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }

    private void renewLease() {
        try {
            leases.renew();
        } catch (LaburnummoorException failure) {
            LOGGER.warnf("cannot renew the lease of claim partitions: %s", failure.getMessage());
        }
    }

    private void dropExpiredSegments() {
        for (int i = 0; i < partitions.size(); i++) {
            if (leases.isHeld(i)) {
                executor.execute(partitions.get(i)::requestCleanup);
            }
        }
    }

    private static List<ClaimOutcome> unavailableOutcomes(List<ClaimRecord> commands) {
        return Collections.nCopies(commands.size(), ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE));
    }

    private record PendingBatch(List<ClaimRecord> commands, CompletableFuture<List<ClaimOutcome>> outcomes) {}

    /** Queues of one partition. At most one task of a partition is scheduled or running at a time. */
    private final class Partition {
        private final int number;
        private final PartitionLog log;
        private final Queue<PendingBatch> commitQueue = new ConcurrentLinkedQueue<>();
        private final Queue<PendingBatch> offlineQueue = new ConcurrentLinkedQueue<>();
        private final AtomicBoolean scheduled = new AtomicBoolean();
        private final AtomicBoolean cleanupRequested = new AtomicBoolean();
        private final CommitRateLimiter rateLimiter =
                new CommitRateLimiter(ClaimPolicy.COMMIT_INTERVAL_MILLIS, ClaimPolicy.COMMIT_BURST);

        Partition(int number, PartitionLog log) {
            this.number = number;
            this.log = log;
        }

        void add(PendingBatch pending) {
            commitQueue.add(pending);
            schedule();
        }

        void addOffline(PendingBatch pending) {
            offlineQueue.add(pending);
            schedule();
        }

        void requestCleanup() {
            cleanupRequested.set(true);
            schedule();
        }

        private void schedule() {
            if (scheduled.compareAndSet(false, true)) {
                executor.schedule(this::run, rateLimiter.delayMillis(clock.nowMillis()), TimeUnit.MILLISECONDS);
            }
        }

        private void run() {
            try {
                PendingBatch offlineBatch = offlineQueue.poll();
                while (offlineBatch != null) {
                    offlineBatch.outcomes.complete(
                            log.answerFromLastView(offlineBatch.commands, leases.isHeld(number)));
                    offlineBatch = offlineQueue.poll();
                }
                if (!commitQueue.isEmpty()) {
                    commitNextGroup();
                }
                if (cleanupRequested.getAndSet(false) && log.dropOldestSegment()) {
                    cleanupRequested.set(true);
                }
            } catch (RuntimeException failure) {
                LOGGER.warnf("claim partition task failed: %s", failure);
            } finally {
                scheduled.set(false);
                if (!commitQueue.isEmpty() || !offlineQueue.isEmpty() || cleanupRequested.get()) {
                    schedule();
                }
            }
        }

        private void commitNextGroup() {
            List<PendingBatch> batches = new ArrayList<>();
            List<ClaimRecord> commands = new ArrayList<>();
            PendingBatch next = commitQueue.peek();
            while (next != null
                    && (batches.isEmpty() || commands.size() + next.commands.size() <= ClaimPolicy.MAX_BATCH_RECORDS)) {
                commitQueue.remove();
                batches.add(next);
                commands.addAll(next.commands);
                next = commitQueue.peek();
            }
            rateLimiter.recordCommit(clock.nowMillis());
            List<ClaimOutcome> outcomes;
            try {
                outcomes = log.commit(commands, leases.isHeld(number));
                if (log.isRaceLost()) {
                    leases.markLost(number);
                }
            } catch (RuntimeException failure) {
                batches.forEach(each -> each.outcomes.completeExceptionally(failure));
                throw failure;
            }
            int start = 0;
            for (PendingBatch each : batches) {
                int end = start + each.commands.size();
                each.outcomes.complete(List.copyOf(outcomes.subList(start, end)));
                start = end;
            }
        }
    }
}
