package io.laburnummoor.core.request;

import java.util.List;
import java.util.concurrent.Executor;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import org.jspecify.annotations.Nullable;

/**
 * Finds the journal of a request and decides how this router continues it. If the answer is unfinished, the router
 * becomes its writer on the agent that holds the newest copy.
 *
 * <p>All steps run on the serial executor of the request.
 */
public final class JournalOpener {
    /** A takeover fails if another router was faster; the entry is then read again. */
    private static final int MAX_ROUNDS = 3;

    private final JournalAgents agents;
    private final GenerationRequest request;
    private final @Nullable ResumePosition resumePosition;
    private final String routerName;
    private final int nonce;
    private final Executor serialExecutor;
    private final Listener listener;

    private int round;
    private int pendingReplyCount;
    private @Nullable JournaledAnswer newest;
    private @Nullable JournalAgent newestAgent;

    /**
     * Creates an opener.
     *
     * @param resumePosition position at which the caller resumes, or null
     * @param nonce random number that distinguishes the epochs of this router's writer from those of other writers
     */
    public JournalOpener(
            JournalAgents agents,
            GenerationRequest request,
            @Nullable ResumePosition resumePosition,
            String routerName,
            int nonce,
            Executor serialExecutor,
            Listener listener) {
        this.agents = agents;
        this.request = request;
        this.resumePosition = resumePosition;
        this.routerName = routerName;
        this.nonce = nonce;
        this.serialExecutor = serialExecutor;
        this.listener = listener;
    }

    /** Reads the entry from the agents that may hold it. */
    public void start() {
        round++;
        newest = null;
        newestAgent = null;
        List<JournalAgent> candidates =
                agents.readCandidates(request.id(), resumePosition == null ? null : resumePosition.journalAgentId());
        pendingReplyCount = candidates.size();
        if (candidates.isEmpty()) {
            decide();
        }
        candidates.forEach(candidate ->
                candidate.read(request.id(), reply -> serialExecutor.execute(() -> onReadReply(candidate, reply))));
    }

    private void onReadReply(JournalAgent from, @Nullable JournalReply reply) {
        JournaledAnswer found = reply == null ? null : reply.found();
        JournaledAnswer known = newest;
        if (found != null && (known == null || found.isNewerThan(known))) {
            newest = found;
            newestAgent = from;
        }
        pendingReplyCount--;
        if (pendingReplyCount == 0) {
            decide();
        }
    }

    private void decide() {
        JournaledAnswer found = newest;
        JournalAgent holder = newestAgent;
        try {
            OpenDecision decision = OpenDecision.decide(found, resumePosition, request.bodyDigest());
            if (found == null || holder == null || decision == OpenDecision.START_NEW) {
                listener.onNewAnswer();
            } else if (decision == OpenDecision.REPLAY) {
                listener.onFinished(found);
            } else {
                long epoch = EpochSpan.nextEpoch(found.epoch(), nonce);
                holder.takeOver(
                        request.id(),
                        epoch,
                        routerName,
                        reply -> serialExecutor.execute(() -> onTakeOverReply(holder, epoch, reply)));
            }
        } catch (LaburnummoorException refused) {
            listener.onRefused(refused.errorCode(), String.valueOf(refused.getMessage()));
        }
    }

    private void onTakeOverReply(JournalAgent holder, long epoch, @Nullable JournalReply reply) {
        JournaledAnswer takenOver = reply == null ? null : reply.found();
        if (takenOver != null && takenOver.finishReason() == null && takenOver.epoch() == epoch) {
            listener.onTakenOver(holder, takenOver);
        } else if (round < MAX_ROUNDS) {
            start();
        } else {
            listener.onRefused(ErrorCode.JOURNAL_UNAVAILABLE, "the journal of the answer could not be taken over");
        }
    }

    /** Receives the outcome; exactly one method is called, once. */
    public interface Listener {
        /** No entry exists; the answer starts from the beginning. */
        void onNewAnswer();

        /** The answer is complete. */
        void onFinished(JournaledAnswer found);

        /** This router has become the writer of the answer. */
        void onTakenOver(JournalAgent holder, JournaledAnswer taken);

        /** The request cannot be served. */
        void onRefused(ErrorCode code, String detail);
    }
}
