package io.laburnummoor.gateway.process;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.laburnummoor.core.Snapshot;
import io.laburnummoor.core.process.BufferBudget;
import io.laburnummoor.core.process.ChangeFeed;
import io.laburnummoor.core.process.InstanceTable;
import io.laburnummoor.core.process.RecentChanges;
import io.laburnummoor.core.process.StreamDurationEstimator;
import io.laburnummoor.core.version.CallerLimits;
import io.laburnummoor.core.version.ForwardConfig;
import org.jspecify.annotations.Nullable;

/**
 * State of the gateway process: what the store follower publishes and requests read without a lock, the number of open
 * requests, and whether the process is stopping. Thread-safe.
 */
public final class GatewayState {
    private static final long RUNNING = Long.MIN_VALUE;
    /** Part of the heap for bytes of upstreams. */
    private static final int HEAP_PART_FOR_BUFFERS = 3;
    /** Part of the heap for the requests of callers. */
    private static final int HEAP_PART_FOR_REQUESTS = 4;

    private final AtomicReference<@Nullable ForwardConfig> config = new AtomicReference<>();
    /** Entry of the store that holds the configuration in force, kept for other routers. */
    private final AtomicReference<ChangeFeed.@Nullable Change> configChange = new AtomicReference<>();

    private final Snapshot<InstanceTable> instances = new Snapshot<>(InstanceTable.EMPTY);
    private final CountDownLatch initialized = new CountDownLatch(1);
    private final AtomicLong stoppedAtMillis = new AtomicLong(RUNNING);
    private final AtomicBoolean refusingAll = new AtomicBoolean();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger lingeringConnections = new AtomicInteger();
    private final Snapshot<Map<String, InetSocketAddress>> peers = new Snapshot<>(Map.of());
    private final RecentChanges recentChanges = new RecentChanges();
    private final BufferBudget bufferBudget;
    private final BufferBudget requestBudget;
    private final StreamDurationEstimator streamDuration = new StreamDurationEstimator();
    private volatile Runnable changeListener = () -> {};

    /** Creates a state whose buffers for bytes of upstreams and for requests may each take a part of the heap. */
    public GatewayState() {
        this(
                new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_PART_FOR_BUFFERS),
                new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_PART_FOR_REQUESTS));
    }

    /** Creates a state with budgets for the bytes of upstreams and for the requests of callers. */
    public GatewayState(BufferBudget bufferBudget, BufferBudget requestBudget) {
        this.bufferBudget = bufferBudget;
        this.requestBudget = requestBudget;
    }

    /** Returns the current configuration, or null if none is known. */
    public @Nullable ForwardConfig config() {
        return config.get();
    }

    /** Replaces the current configuration. */
    public void replaceConfig(ForwardConfig next) {
        config.set(next);
        changeListener.run();
    }

    /** Records the entry of the store that holds the current configuration. */
    public void recordConfigChange(ChangeFeed.Change change) {
        configChange.set(change);
    }

    /** Returns the entry of the current configuration, or null if its version is not above the given one. */
    public ChangeFeed.@Nullable Change configChangeNewerThan(long configVersion) {
        ForwardConfig current = config.get();
        return current == null || current.version() <= configVersion ? null : configChange.get();
    }

    public InstanceTable instances() {
        return instances.get();
    }

    /** Replaces the known upstreams. */
    public void replaceInstances(InstanceTable next) {
        instances.replace(next);
        initialized.countDown();
        changeListener.run();
    }

    /** Sets the task that runs after each change of the configuration or of the known upstreams; it must not block. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Waits until configuration and upstreams have been read for the first time, or until the timeout. */
    public void awaitInitialState(long timeoutMillis) {
        try {
            initialized.await(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the limits on callers, or default limits while no configuration is known. */
    public CallerLimits limits() {
        ForwardConfig current = config.get();
        return current == null ? CallerLimits.DEFAULT : current.limits();
    }

    /** Returns whether the process is stopping. */
    public boolean isDraining() {
        return stoppedAtMillis.get() != RUNNING;
    }

    /** Returns the time since the stop signal, or 0 while the process is not stopping. */
    public long sinceStopMillis(long nowMillis) {
        long stopped = stoppedAtMillis.get();
        return stopped == RUNNING ? 0 : nowMillis - stopped;
    }

    /** Marks the process as stopping. */
    public void beginDraining(long nowMillis) {
        stoppedAtMillis.compareAndSet(RUNNING, nowMillis);
    }

    /** Makes the stopping process refuse each further request, so that none is open when it ends. */
    public void refuseAll() {
        refusingAll.set(true);
    }

    /** Returns whether each further request is refused. */
    public boolean isRefusingAll() {
        return refusingAll.get();
    }

    /** Counts a request as open: it was read completely. */
    public void requestOpened() {
        openRequests.incrementAndGet();
    }

    /** Counts a request as closed: the last byte of its response was written, or its caller has gone. */
    public void requestClosed() {
        openRequests.decrementAndGet();
    }

    /** Returns the number of requests that were read and whose response has not been written to the end. */
    public int openRequestCount() {
        return openRequests.get();
    }

    /** Counts a connection whose last response is written, and that waits for the caller to close it. */
    public void lingeringStarted() {
        lingeringConnections.incrementAndGet();
    }

    /** Counts such a connection as closed. */
    public void lingeringEnded() {
        lingeringConnections.decrementAndGet();
    }

    /** Returns the number of connections whose caller may still be receiving the last response. */
    public int lingeringConnectionCount() {
        return lingeringConnections.get();
    }

    /** Returns the UDP addresses of the other routers by name. */
    public Map<String, InetSocketAddress> peers() {
        return peers.get();
    }

    /** Replaces the UDP addresses of the other routers. */
    public void replacePeers(Map<String, InetSocketAddress> addressByRouter) {
        peers.replace(Map.copyOf(addressByRouter));
    }

    /** Returns the latest changes of the store that this router has applied. */
    public RecentChanges recentChanges() {
        return recentChanges;
    }

    /** Returns the limit on the bytes of upstreams that the process buffers. */
    public BufferBudget bufferBudget() {
        return bufferBudget;
    }

    /** Returns the limit on the memory of the requests that callers have sent and whose responses are not queued. */
    public BufferBudget requestBudget() {
        return requestBudget;
    }

    /** Returns the estimate of the duration of streams. */
    public StreamDurationEstimator streamDuration() {
        return streamDuration;
    }

    /** Returns the number of routers that share the retry budget, this one included. */
    public int routerCount() {
        return peers.get().size() + 1;
    }
}
