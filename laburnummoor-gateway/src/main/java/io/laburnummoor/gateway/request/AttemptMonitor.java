package io.laburnummoor.gateway.request;

import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.EventLoop;

/**
 * Monitors the progress of the running attempt of one request; there is one implementation for each kind of request.
 * Confined to the event loop of the session, which also receives the findings there.
 */
interface AttemptMonitor {
    /** Monitors nothing: a request that may run at most once waits for its response until the deadline. */
    AttemptMonitor NONE = new AttemptMonitor() {
        @Override
        public void started(Attempt attempt) {}

        @Override
        public void replaced(Attempt replacement) {}

        @Override
        public void progressed(long nowMillis) {}

        @Override
        public void stop() {}
    };

    /** Returns a monitor for a request of a route. */
    static AttemptMonitor of(
            GatewayContext context, EventLoop loop, UpstreamPool pool, ForwardRoute route, Listener listener) {
        if (!route.retryPolicy().mayRetryAfterRun()) {
            return NONE;
        }
        return route.streaming()
                ? new StreamMonitor(loop, context, pool, route, listener)
                : new HedgeMonitor(loop, route.responseGoalMillis(), listener);
    }

    /** Monitors a new attempt in place of the previous one. */
    void started(Attempt attempt);

    /** Monitors the attempt that has taken the place of an unresponsive one. */
    void replaced(Attempt replacement);

    /** Records that the monitored attempt has delivered an event of its stream. */
    void progressed(long nowMillis);

    /** Stops monitoring, since the request has ended. */
    void stop();

    /** Receives the findings of a monitor. */
    interface Listener {
        /** Returns a task for a timer or a callback; its failure ends the request with an error. */
        Runnable guarded(Runnable task);

        /**
         * Called when the attempt has been silent for too long, and again at intervals while it is. Its upstream may
         * still be sound, so the attempt goes on until another one can take its place.
         */
        void onUnresponsive(Attempt attempt, String cause);

        /**
         * Called when the upstream of the attempt has accepted no connections for too long to be sound, and again at
         * intervals while the attempt is kept because nothing may follow it.
         */
        void onUpstreamGone(Attempt attempt, String cause);

        /** Called at intervals while the attempt waits for its first event. */
        void onWaiting(Attempt attempt);

        /** Called when the attempt has taken so long that a hedged one may start in parallel. */
        void onHedgeDue(Attempt attempt);
    }
}
