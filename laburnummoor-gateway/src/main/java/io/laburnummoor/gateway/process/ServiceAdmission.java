package io.laburnummoor.gateway.process;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.laburnummoor.core.process.StartEstimator;
import io.laburnummoor.core.version.ForwardService;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * State of the admission to one service. The number of waiting requests and the estimate are read by any thread, the
 * rest is confined to the event loop of the queue.
 */
final class ServiceAdmission {
    private final StartEstimator estimator = new StartEstimator();
    /** Requests from the moment at which they are handed to the queue until they use the place granted. */
    private final AtomicInteger waitingCount = new AtomicInteger();

    private final AtomicBoolean dispatchScheduled = new AtomicBoolean();
    private volatile boolean paceReported;

    private ForwardService service;
    private @Nullable WaitTicket granted;
    private @Nullable ScheduledFuture<?> grantTimer;
    private @Nullable ScheduledFuture<?> backupTimer;

    ServiceAdmission(ForwardService service) {
        this.service = service;
    }

    StartEstimator estimator() {
        return estimator;
    }

    AtomicInteger waitingCount() {
        return waitingCount;
    }

    AtomicBoolean dispatchScheduled() {
        return dispatchScheduled;
    }

    boolean isPaceReported() {
        return paceReported;
    }

    void recordPaceReported() {
        if (!paceReported) {
            paceReported = true;
        }
    }

    /** Returns the latest known declaration of the service. */
    ForwardService service() {
        return service;
    }

    void updateService(ForwardService latest) {
        service = latest;
    }

    /** Returns whether a place was granted whose use has not been reported. */
    boolean isGrantOpen() {
        return granted != null;
    }

    void startGrant(WaitTicket ticket, ScheduledFuture<?> timer) {
        granted = ticket;
        grantTimer = timer;
    }

    /** Ends the open grant of a ticket; returns false if it is not the open one. */
    boolean endGrant(WaitTicket ticket) {
        if (granted != ticket) {
            return false;
        }
        granted = null;
        if (grantTimer != null) {
            grantTimer.cancel(false);
            grantTimer = null;
        }
        return true;
    }

    boolean isBackupPending() {
        return backupTimer != null;
    }

    void setBackupTimer(@Nullable ScheduledFuture<?> timer) {
        backupTimer = timer;
    }
}
