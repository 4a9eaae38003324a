package io.laburnummoor.gateway.process;

import io.laburnummoor.core.request.Urgency;
import io.laburnummoor.core.request.WaitRefusal;
import io.laburnummoor.core.request.WaitingRequest;
import io.laburnummoor.core.version.ForwardService;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/** One wait of a request for a place on an upstream. Its state is confined to the event loop of the queue. */
public final class WaitTicket {
    private final Facts facts;
    private final Listener listener;
    private @Nullable ServiceAdmission service;
    private @Nullable WaitingRequest waiting;
    private @Nullable ScheduledFuture<?> timer;
    private long enteredAtMillis;
    private boolean closed;

    /** Creates a ticket that is not queued yet. */
    public WaitTicket(Facts facts, Listener listener) {
        this.facts = facts;
        this.listener = listener;
    }

    Facts facts() {
        return facts;
    }

    Listener listener() {
        return listener;
    }

    /** Returns the entry in the queue, or null while there is none. */
    @Nullable
    WaitingRequest waiting() {
        return waiting;
    }

    long enteredAtMillis() {
        return enteredAtMillis;
    }

    /** Called before the ticket is handed to the event loop of the queue. */
    void enter(ServiceAdmission admission, long nowMillis) {
        service = admission;
        enteredAtMillis = nowMillis;
    }

    @Nullable
    ServiceAdmission service() {
        return service;
    }

    void queued(WaitingRequest entry, ScheduledFuture<?> endOfWait) {
        waiting = entry;
        timer = endOfWait;
    }

    /** Ends the wait; returns false if it has ended before. */
    boolean close() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        boolean first = !closed;
        closed = true;
        return first;
    }

    boolean isClosed() {
        return closed;
    }

    /** Receives the end of the wait, on the event loop of the queue. */
    public interface Listener {
        /** A place is free; its use, or that it is not used, must be reported to the queue. */
        void onGranted();

        /** No place has become free in time; the request is sent as if nothing were known about the upstreams. */
        void onWaitEnded();

        /** The request may not run; the caller may come back after the given time. */
        void onRefused(WaitRefusal refusal, long retryAfterMillis);
    }

    /**
     * What the queue knows about a request.
     *
     * @param requestId id of the caller's attempt
     * @param service service whose upstreams can run it
     * @param urgency urgency in relation to the other requests of the service
     * @param organisation name of the caller's organisation, empty if there is none
     * @param caller distinguishes the callers of one organisation
     * @param tokens tokens that it occupies in the KV cache of an upstream; 0 for other requests
     * @param fingerprint digest that is the same when the caller sends the request again
     * @param arrivedAtMillis when it was received
     * @param goalMillis goal for the response or its first event, from the arrival on
     * @param deadlineMillis when the caller stops waiting
     * @param bytes memory that it takes
     */
    public record Facts(
            String requestId,
            ForwardService service,
            Urgency urgency,
            String organisation,
            String caller,
            long tokens,
            String fingerprint,
            long arrivedAtMillis,
            long goalMillis,
            long deadlineMillis,
            long bytes) {}
}
