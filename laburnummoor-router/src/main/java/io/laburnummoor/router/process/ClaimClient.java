package io.laburnummoor.router.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.IntFunction;

import io.laburnummoor.core.Clock;
import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import io.laburnummoor.core.request.ClaimState;
import io.laburnummoor.router.connection.ClaimChannel;
import io.laburnummoor.wire.process.PeriodicTask;
import org.jboss.logging.Logger;

/**
 * Sends claim commands to the holders of their partitions, and retries results and releases until they are durable.
 */
public final class ClaimClient implements Service {
    private static final Logger LOGGER = Logger.getLogger(ClaimClient.class);
    private static final long RETRY_INTERVAL_MILLIS = 250;
    /**
     * Limit on results and releases that wait for the store. Any above it are dropped: their keys stay claimed, which
     * callers see as {@code outcome_unknown}.
     */
    private static final int MAX_UNRECORDED = 10_000;

    private final List<ClaimChannel> channels = new ArrayList<>();
    private final ConcurrentHashMap<String, Unrecorded> unrecorded = new ConcurrentHashMap<>();
    private final ExecutorService executor =
            Executors.newFixedThreadPool(ClaimPolicy.PARTITIONS, task -> new Thread(task, "claim-channel"));
    private final PeriodicTask retryTask =
            new PeriodicTask("claim-repeat", RETRY_INTERVAL_MILLIS, this::retryUnrecorded);
    private final Clock clock;
    private final long drainMillis;

    /**
     * Creates a client.
     *
     * @param channels creates the channel of a partition
     * @param drainMillis time for which a stop waits for results and releases that are not yet durable
     */
    public ClaimClient(IntFunction<ClaimChannel> channels, Clock clock, long drainMillis) {
        for (int i = 0; i < ClaimPolicy.PARTITIONS; i++) {
            this.channels.add(channels.apply(i));
        }
        this.clock = clock;
        this.drainMillis = drainMillis;
    }

    /** Requests a claim; a claim whose outcome is unavailable is not retried. */
    public void claim(ClaimRecord claim, Consumer<ClaimOutcome> onOutcome) {
        send(claim, onOutcome);
    }

    /**
     * Records a result or release and retries it until it is durable.
     *
     * @param onFirstOutcome called when the first attempt has ended, whether or not it succeeded
     */
    public void record(ClaimRecord command, Consumer<ClaimOutcome> onFirstOutcome) {
        if (unrecorded.size() >= MAX_UNRECORDED) {
            LOGGER.warnf("too many results are waiting for the key-value service; key %s stays claimed", command.id());
            onFirstOutcome.accept(ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE));
            return;
        }
        Unrecorded entry = new Unrecorded(command, new AtomicBoolean());
        unrecorded.put(command.nonce(), entry);
        sendUnrecorded(entry, onFirstOutcome);
    }

    /** Returns the number of results and releases that are not yet durable. */
    public int unrecordedCount() {
        return unrecorded.size();
    }

    @Override
    public void start() {
        retryTask.start();
    }

    @Override
    public void stop() {
        long deadlineMillis = clock.nowMillis() + drainMillis;
        try {
            while (!unrecorded.isEmpty() && clock.nowMillis() < deadlineMillis) {
                Thread.sleep(RETRY_INTERVAL_MILLIS / 10);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (!unrecorded.isEmpty()) {
            LOGGER.warnf("router stopped before %d results or releases of claims were recorded", unrecorded.size());
        }
        retryTask.stop();
        executor.shutdownNow();
        channels.forEach(ClaimChannel::close);
    }

    private void sendUnrecorded(Unrecorded entry, Consumer<ClaimOutcome> onAnswer) {
        if (entry.inFlight.compareAndSet(false, true)) {
            send(entry.command, outcome -> {
                entry.inFlight.set(false);
                onRecordOutcome(entry.command, outcome);
                onAnswer.accept(outcome);
            });
        }
    }

    private void send(ClaimRecord command, Consumer<ClaimOutcome> onOutcome) {
        ClaimChannel channel = channels.get(ClaimPolicy.partitionOf(command.id()));
        if (channel.add(command, onOutcome)) {
            executor.execute(() -> drain(channel));
        }
    }

    private void drain(ClaimChannel channel) {
        if (channel.sendBatch()) {
            executor.execute(() -> drain(channel));
        }
    }

    private void retryUnrecorded() {
        unrecorded.values().forEach(entry -> sendUnrecorded(entry, outcome -> {}));
    }

    private void onRecordOutcome(ClaimRecord command, ClaimOutcome outcome) {
        if (outcome.isUnavailable()) {
            return;
        }
        unrecorded.remove(command.nonce());
        if (outcome.kind() == ClaimOutcome.Kind.REJECTED && command.state() == ClaimState.DONE) {
            LOGGER.errorf("result of key %s was rejected because it contradicts the recorded state", command.id());
        }
    }

    private record Unrecorded(ClaimRecord command, AtomicBoolean inFlight) {}
}
