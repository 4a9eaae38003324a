package io.laburnummoor.agent.process;

import java.util.Map;

import io.laburnummoor.core.Service;
import io.laburnummoor.core.process.AnswerJournal;
import io.laburnummoor.wire.process.PeriodicTask;
import io.laburnummoor.wire.process.ThriftServer;
import org.apache.thrift.TProcessor;

/** Serves Thrift calls of routers and drops expired journal entries. */
final class AgentServer implements Service {
    private static final int WORKER_THREADS = 2;
    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final long drainMillis;
    private final AgentHandler handler;
    private final ThriftServer server;
    private final PeriodicTask expiry;

    AgentServer(AgentSettings settings, AgentHandler handler, Map<String, TProcessor> services, AnswerJournal journal) {
        this.drainMillis = settings.drainMillis();
        this.handler = handler;
        this.server = new ThriftServer(settings.host(), settings.port(), WORKER_THREADS, services);
        this.expiry = new PeriodicTask("journal-expiry", EXPIRY_INTERVAL_MILLIS, journal::expire);
    }

    @Override
    public void start() {
        server.start();
        expiry.start();
    }

    /** Announces that the upstream leaves, goes on answering for the drain time, then closes. */
    @Override
    public void stop() {
        handler.announceLeaving();
        try {
            Thread.sleep(drainMillis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        expiry.stop();
        server.stop();
    }
}
