package io.laburnummoor.gateway.request;

import io.laburnummoor.core.version.ForwardRoute;
import io.laburnummoor.gateway.connection.UpstreamPool;
import io.laburnummoor.gateway.process.GatewayContext;
import io.netty.channel.EventLoop;

/** Watches the running attempt of one request for silence; each implementation stands for one kind of request. */
interface AttemptMonitor {
    /** Watches nothing: a request that runs at most once waits for its answer until the deadline. */
    AttemptMonitor NONE = new AttemptMonitor() {
        @Override
        public void started(Attempt attempt) {}

        @Override
        public void stop() {}
    };

    /** Returns the watch for the requests of a route. */
    static AttemptMonitor of(
            GatewayContext context, EventLoop loop, UpstreamPool pool, ForwardRoute route, Listener listener) {
        if (!route.repeatRule().repeatsAfterRun()) {
            return NONE;
        }
        return route.streaming()
                ? new StreamMonitor(loop, context, pool, route, listener)
                : new HedgeMonitor(loop, route.goalMillis(), listener);
    }

    /** A new attempt is the one to watch. */
    void started(Attempt attempt);

    /** The request has ended. */
    void stop();

    /** Hears what a watch finds. */
    interface Listener {
        /** The attempt must be given up. */
        void onUnresponsive(Attempt attempt, String cause);

        /** The attempt has taken so long that a second one may start beside it. */
        void onHedgeDue(Attempt attempt);
    }
}
