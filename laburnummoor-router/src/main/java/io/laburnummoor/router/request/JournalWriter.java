package io.laburnummoor.router.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.laburnummoor.core.request.Answer;
import io.laburnummoor.core.request.Binding;
import io.laburnummoor.core.request.FinishReason;
import io.laburnummoor.core.request.GenerationRequest;
import io.laburnummoor.core.request.SerialExecutor;
import io.laburnummoor.core.request.Token;
import io.laburnummoor.router.connection.JournalListener;
import io.laburnummoor.router.connection.JournalPeer;
import io.laburnummoor.router.connection.JournalPeers;
import io.laburnummoor.wire.generated.OpenMode;
import io.laburnummoor.wire.generated.OpenReply;
import io.laburnummoor.wire.generated.OpenRequest;
import io.laburnummoor.wire.request.WireMessages;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the journal of one answer on one agent and moves it to another agent when that one fails.
 *
 * <p>All methods are called by the serial executor of the request. Tokens that are appended while the journal is being
 * opened are sent when it is open.
 */
final class JournalWriter {
    private final JournalPeers peers;
    private final GenerationRequest request;
    private final String routerName;
    private final SerialExecutor serial;
    private final Answer answer;
    private final Binding binding;
    private final Listener listener;
    private final Set<String> failedAgentIds = new HashSet<>();

    private long epoch;
    private @Nullable JournalPeer peer;
    private boolean open;
    private boolean searching;

    JournalWriter(
            JournalPeers peers,
            GenerationRequest request,
            String routerName,
            SerialExecutor serial,
            Answer answer,
            Binding binding,
            Listener listener) {
        this.peers = peers;
        this.request = request;
        this.routerName = routerName;
        this.serial = serial;
        this.answer = answer;
        this.binding = binding;
        this.listener = listener;
    }

    /** Opens the entry with the given epoch on the best agent. */
    void open(long firstEpoch) {
        epoch = firstEpoch;
        openOnNextAgent();
    }

    /** Sends accepted tokens. */
    void append(int offset, List<Token> tokens) {
        send(offset, tokens, null);
    }

    /** Sends the end of the answer. */
    void finish(int tokenCount, FinishReason reason) {
        send(tokenCount, List.of(), reason);
    }

    /** Looks for an agent again if none was found before. */
    void onTick() {
        if (searching) {
            failedAgentIds.clear();
            openOnNextAgent();
        }
    }

    /** Returns the agent that keeps the entry, empty if none does. */
    String agentId() {
        JournalPeer current = peer;
        return current == null ? "" : current.agent().id();
    }

    /** Returns the epoch of this writer. */
    long epoch() {
        return epoch;
    }

    private void openOnNextAgent() {
        JournalPeer chosen = peers.choose(request.id(), failedAgentIds);
        peer = chosen;
        open = false;
        searching = chosen == null;
        if (chosen == null) {
            listener.onNoAgent();
            return;
        }
        List<Token> tokens = answer.accepted();
        OpenRequest message = new OpenRequest(WireMessages.toWire(request.id()), OpenMode.WRITE);
        message.setEpoch(epoch);
        message.setWriter(routerName);
        message.setBinding(WireMessages.toWire(binding));
        message.setBodyDigest(request.bodyDigest());
        message.setTokens(WireMessages.toWire(tokens));
        chosen.open(message, reply -> serial.execute(() -> onOpenReply(chosen, tokens.size(), reply)));
    }

    private void onOpenReply(JournalPeer chosen, int sentCount, @Nullable OpenReply reply) {
        if (chosen != peer || open) {
            return;
        }
        if (reply == null || (!reply.isAccepted() && !isHigherEpoch(reply))) {
            moveFrom(chosen);
            return;
        }
        if (!reply.isAccepted()) {
            listener.onFenced();
            return;
        }
        open = true;
        listener.onAcknowledged(sentCount, false);
        sendMissing(sentCount);
    }

    private boolean isHigherEpoch(OpenReply reply) {
        return reply.isSetFound() && reply.getFound().getEpoch() >= epoch;
    }

    /** Sends what was accepted while the entry was being opened. */
    private void sendMissing(int sentCount) {
        List<Token> accepted = answer.accepted();
        FinishReason reason = answer.finishReason();
        if (accepted.size() > sentCount || reason != null) {
            send(sentCount, accepted.subList(sentCount, accepted.size()), reason);
        }
    }

    private void send(int offset, List<Token> tokens, @Nullable FinishReason reason) {
        JournalPeer current = peer;
        if (open && current != null) {
            current.append(request.id(), epoch, offset, tokens, reason, new EpochListener(current, epoch));
        }
    }

    /** Opens the entry on another agent; a higher epoch tells the new copy from the one left behind. */
    private void moveFrom(JournalPeer failed) {
        failedAgentIds.add(failed.agent().id());
        epoch++;
        openOnNextAgent();
    }

    /** Events of the journal of one answer, called by the serial executor of the request. */
    interface Listener {
        /** The first {@code tokenCount} tokens, and the end if it was sent, are kept. */
        void onAcknowledged(int tokenCount, boolean endAcknowledged);

        /** Another router has become the writer. */
        void onFenced();

        /** No agent can keep the entry now. */
        void onNoAgent();
    }

    /** Passes on the outcome of appends unless the journal has moved since they were sent. */
    private final class EpochListener implements JournalListener {
        private final JournalPeer sentTo;
        private final long sentEpoch;

        EpochListener(JournalPeer sentTo, long sentEpoch) {
            this.sentTo = sentTo;
            this.sentEpoch = sentEpoch;
        }

        @Override
        public void onAcknowledged(int tokenCount, boolean endAcknowledged) {
            ifCurrent(() -> listener.onAcknowledged(tokenCount, endAcknowledged));
        }

        @Override
        public void onFenced() {
            ifCurrent(listener::onFenced);
        }

        @Override
        public void onLost() {
            ifCurrent(() -> moveFrom(sentTo));
        }

        private void ifCurrent(Runnable action) {
            serial.execute(() -> {
                if (sentTo == peer && sentEpoch == epoch) {
                    action.run();
                }
            });
        }
    }
}
