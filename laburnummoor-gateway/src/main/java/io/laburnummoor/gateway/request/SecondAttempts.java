package io.laburnummoor.gateway.request;

import io.laburnummoor.core.connection.InstanceState;
import io.laburnummoor.core.request.AttemptHistory;
import io.laburnummoor.gateway.connection.UpstreamConnection;
import io.laburnummoor.gateway.process.GatewayContext;
import org.jspecify.annotations.Nullable;

/**
 * Starts a second attempt of a request beside the current one: a hedged one of a call that takes long, or one that
 * replaces a silent attempt of a stream. Confined to the event loop of the session.
 */
final class SecondAttempts implements AttemptMonitor.Listener {
    private final ForwardSession session;
    private final GatewayContext context;
    private final CallerExchange exchange;
    private final AttemptLauncher launcher;
    private final RunningAttempts running;
    private final RetryGate retries;
    private final AttemptHistory history;
    private final CrashReporter crashReporter;
    private final RequestTrace trace;

    SecondAttempts(
            ForwardSession session,
            GatewayContext context,
            CallerExchange exchange,
            AttemptLauncher launcher,
            RunningAttempts running,
            RetryGate retries,
            AttemptHistory history,
            CrashReporter crashReporter,
            RequestTrace trace) {
        this.session = session;
        this.context = context;
        this.exchange = exchange;
        this.launcher = launcher;
        this.running = running;
        this.retries = retries;
        this.history = history;
        this.crashReporter = crashReporter;
        this.trace = trace;
    }

    @Override
    public Runnable guarded(Runnable task) {
        return exchange.guarded(task);
    }

    @Override
    public void onHedgeDue(Attempt attempt) {
        if (mayStartBeside(attempt) && retries.tryRetry()) {
            launcher.exclude(attempt);
            InstanceState target = launcher.selectUnusedUpstream();
            if (target != null) {
                Attempt hedge = session.newAttempt(target, false);
                running.startSecond(hedge);
                session.connect(hedge, "hedge", connection -> session.onConnected(hedge, connection));
            }
        }
    }

    private boolean mayStartBeside(Attempt attempt) {
        return !session.isDone() && running.isCurrent(attempt) && !attempt.hasEnded() && !running.hasSecond();
    }

    @Override
    public void onWaiting(Attempt attempt) {
        if (!session.isDone() && crashReporter.isQuarantined()) {
            session.fail(ForwardSession.QUARANTINED, 0);
        }
    }

    @Override
    public void onUnresponsive(Attempt attempt, String cause) {
        if (!mayStartBeside(attempt)) {
            return;
        }
        if (!exchange.isWritable()) {
            // The caller does not read, so the upstream is silent because this router has stopped reading from it.
            attempt.recordActivity(now());
        } else if (retries.mayReplaceSilent(attempt)) {
            startReplacement(attempt, cause);
        }
    }

    /** Connects to another upstream first, so that a sound attempt is not given up for one that cannot start. */
    private void startReplacement(Attempt silent, String cause) {
        InstanceState backup = launcher.usableBackup(silent.hasEvents() ? silent.backup() : null);
        InstanceState target = backup != null ? backup : launcher.selectOtherUpstream(silent);
        if (target != null) {
            Attempt replacement = session.newAttempt(target, backup != null);
            running.startSecond(replacement);
            session.connect(replacement, "silent", connection -> onConnected(silent, cause, replacement, connection));
        }
    }

    private void onConnected(
            Attempt silent, String cause, Attempt replacement, @Nullable UpstreamConnection connection) {
        if (session.isDone() || replacement.hasEnded()) {
            if (connection != null) {
                connection.returnToPool();
            }
        } else if (connection == null) {
            onUnreachable(silent, cause, replacement);
        } else if (running.isCurrent(replacement)) {
            continueWith(replacement, connection);
        } else if (silent.hasEnded()
                || silent.lastActivityMillis() >= replacement.startedAtMillis()
                || !replacement.target().acceptsRequests(now())
                || !retries.tryRetry()) {
            connection.returnToPool();
            withdraw(replacement);
            trace.attemptWithdrawn(replacement);
        } else {
            session.replace(silent, cause, replacement, connection);
        }
    }

    private void onUnreachable(Attempt silent, String cause, Attempt replacement) {
        boolean silentLost = running.isCurrent(replacement);
        session.recordLoss(replacement, "no connection");
        history.recordUpstreamEnded(replacement.instance().id());
        if (silentLost) {
            replacement.end();
            session.retryOrFail(replacement, "lost", true, 0);
        } else {
            withdraw(replacement);
            onUnresponsive(silent, cause);
        }
    }

    /** Continues with a replacement whose silent attempt was lost while it connected. */
    private void continueWith(Attempt replacement, UpstreamConnection connection) {
        if (retries.tryRetry()) {
            session.continueWith(replacement, connection);
        } else {
            connection.returnToPool();
            replacement.end();
            session.fail("lost", 0);
        }
    }

    /** Ends a replacement that was not sent. A silence may outlast many of them, so they do not count as attempts. */
    private void withdraw(Attempt replacement) {
        replacement.end();
        running.promoteOther(replacement);
        history.recordWithdrawn(replacement.number());
    }

    @Override
    public void onUpstreamGone(Attempt attempt, String cause) {
        if (!session.isDone() && running.isCurrent(attempt) && retries.hasRetry()) {
            launcher.recordMissingFirstEvent(attempt);
            attempt.cancel();
            session.onLost(attempt, cause);
        }
    }

    private long now() {
        return context.clock().nowMillis();
    }
}
