package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;

import org.jspecify.annotations.Nullable;

/**
 * Writes the journal of one answer to one agent and fails over to another agent when that one fails.
 *
 * <p>All methods are called on the serial executor of the request. Tokens that are appended while the journal is being
 * opened are sent once it is open.
 */
public final class JournalWriter {
    /**
     * Interval at which an entry without new tokens is renewed, so that a takeover is also detected while no tokens
     * arrive.
     */
    static final long RENEW_INTERVAL_MILLIS = 1_000;

    private final JournalAgents agents;
    private final GenerationRequest request;
    private final String routerName;
    private final Executor serialExecutor;
    private final Answer answer;
    private final int nonce;
    private final Listener listener;
    private final Set<String> failedAgentIds = new HashSet<>();
    private final List<EpochSpan> history = new ArrayList<>();

    private Binding binding;
    private @Nullable JournalAgent agent;
    private boolean open;
    private boolean searching;
    private boolean stopped;
    private long renewAtMillis = Long.MAX_VALUE;

    /**
     * Creates a writer that has not opened an entry yet.
     *
     * @param nonce random number that distinguishes the epochs of this writer from those of other writers
     */
    public JournalWriter(
            JournalAgents agents,
            GenerationRequest request,
            String routerName,
            Executor serialExecutor,
            Answer answer,
            Binding binding,
            int nonce,
            Listener listener) {
        this.agents = agents;
        this.request = request;
        this.routerName = routerName;
        this.serialExecutor = serialExecutor;
        this.answer = answer;
        this.binding = binding;
        this.nonce = nonce;
        this.listener = listener;
    }

    /** Opens a new entry on the best agent. */
    public void openNew() {
        nextEpoch();
        openOnNextAgent();
    }

    /** Continues an entry that was taken over, on the same agent if that one is outside the router's failure domain. */
    public void continueTakenOver(JournalAgent holder, JournaledAnswer taken) {
        history.addAll(taken.history());
        if (holder.isInOtherFailureDomain()) {
            agent = holder;
            open = true;
            listener.onAcknowledged(taken.tokens().size(), false);
        } else {
            nextEpoch();
            openOnNextAgent();
        }
    }

    /**
     * Reopens the entry without tokens for another binding. The history is cleared, so that positions in the output of
     * the previous binding are not covered.
     */
    public void restart(Binding newBinding) {
        binding = newBinding;
        EpochSpan next = new EpochSpan(EpochSpan.nextEpoch(epoch(), nonce), 0);
        history.clear();
        history.add(next);
        openOnNextAgent();
    }

    /** Sends accepted tokens. */
    public void append(int offset, List<Token> tokens) {
        send(offset, tokens, null);
    }

    /** Sends the end of the answer. */
    public void finish(int tokenCount, FinishReason reason) {
        send(tokenCount, List.of(), reason);
    }

    /** Makes the writer send nothing any more. */
    public void stop() {
        stopped = true;
    }

    /** Reports on the next tick, ahead of the regular renewal, whether a caller is attached. */
    public void reportCallerAttachment() {
        renewAtMillis = Long.MIN_VALUE;
    }

    /** Selects an agent again if none was found before, and renews the entry. */
    public void onTick(long nowMillis) {
        if (searching) {
            failedAgentIds.clear();
            openOnNextAgent();
        }
        if (nowMillis >= renewAtMillis) {
            send(answer.acceptedCount(), List.of(), answer.finishReason());
            renewAtMillis = nowMillis + RENEW_INTERVAL_MILLIS;
        } else if (renewAtMillis == Long.MAX_VALUE) {
            renewAtMillis = nowMillis + RENEW_INTERVAL_MILLIS;
        }
    }

    /** Returns the position after the given number of tokens. */
    public ResumePosition position(int offset) {
        JournalAgent current = agent;
        return new ResumePosition(current == null ? "" : current.id(), epoch(), offset);
    }

    /** Returns whether the tokens that a caller holds are a prefix of this answer. */
    public boolean covers(ResumePosition position) {
        return EpochSpan.covers(history, answer.acceptedCount(), position);
    }

    private long epoch() {
        return history.get(history.size() - 1).epoch();
    }

    /** Adds a higher epoch, which distinguishes the new copy of an entry from the one on the previous agent. */
    private void nextEpoch() {
        long before = history.isEmpty() ? 0 : epoch();
        history.add(new EpochSpan(EpochSpan.nextEpoch(before, nonce), answer.acceptedCount()));
    }

    private void openOnNextAgent() {
        JournalAgent selected = agents.select(request.id(), failedAgentIds);
        agent = selected;
        open = false;
        searching = selected == null;
        if (selected == null) {
            listener.onNoAgent();
            return;
        }
        List<Token> tokens = answer.accepted();
        JournalOpenRequest openRequest = new JournalOpenRequest(
                request.id(),
                routerName,
                binding,
                request.bodyDigest(),
                List.copyOf(history),
                tokens,
                answer.isAttached());
        selected.open(openRequest, reply -> serialExecutor.execute(() -> onOpenReply(selected, openRequest, reply)));
    }

    private void onOpenReply(JournalAgent selected, JournalOpenRequest openRequest, @Nullable JournalReply reply) {
        if (stopped || selected != agent || open || openRequest.epoch() != epoch()) {
            return;
        }
        if (reply == null || (!reply.accepted() && !isHigherEpoch(reply))) {
            failOverFrom(selected);
            return;
        }
        if (!reply.accepted()) {
            listener.onFenced();
            return;
        }
        open = true;
        int sentCount = openRequest.tokens().size();
        listener.onAcknowledged(sentCount, false);
        sendMissing(sentCount);
    }

    private boolean isHigherEpoch(JournalReply reply) {
        JournaledAnswer found = reply.found();
        return found != null && found.epoch() > epoch();
    }

    /** Sends the tokens and the end that were accepted while the entry was being opened. */
    private void sendMissing(int sentCount) {
        List<Token> accepted = answer.accepted();
        FinishReason reason = answer.finishReason();
        if (accepted.size() > sentCount || reason != null) {
            send(sentCount, accepted.subList(sentCount, accepted.size()), reason);
        }
    }

    private void send(int offset, List<Token> tokens, @Nullable FinishReason reason) {
        JournalAgent current = agent;
        if (open && !stopped && current != null) {
            JournalAppend append =
                    new JournalAppend(request.id(), epoch(), offset, tokens, reason, answer.isAttached());
            current.append(append, new EpochListener(current, epoch()));
        }
    }

    private void failOverFrom(JournalAgent failed) {
        failedAgentIds.add(failed.id());
        listener.onCopyLost();
        nextEpoch();
        openOnNextAgent();
    }

    /** Receives the events of one answer's journal, on the serial executor of the request. */
    public interface Listener {
        /** The first {@code tokenCount} tokens, and the end if it was sent, are stored. */
        void onAcknowledged(int tokenCount, boolean endAcknowledged);

        /** The agent failed; no token counts as stored until another agent holds the entry. */
        void onCopyLost();

        /** Another router has become the writer. */
        void onFenced();

        /** No agent can store the entry at present. */
        void onNoAgent();
    }

    /** Passes on the outcome of appends unless the agent or the epoch has changed since they were sent. */
    private final class EpochListener implements JournalListener {
        private final JournalAgent sentTo;
        private final long sentEpoch;

        EpochListener(JournalAgent sentTo, long sentEpoch) {
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
            ifCurrent(() -> failOverFrom(sentTo));
        }

        private void ifCurrent(Runnable action) {
            serialExecutor.execute(() -> {
                if (!stopped && sentTo == agent && sentEpoch == epoch()) {
                    action.run();
                }
            });
        }
    }
}
