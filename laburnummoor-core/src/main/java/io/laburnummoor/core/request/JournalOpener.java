package io.laburnummoor.core.request;

import java.util.List;
import java.util.concurrent.Executor;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import org.jspecify.annotations.Nullable;

/**
 * Finds the journal of a request and decides how this router goes on with it; if the answer runs, the router becomes
 * its writer on the agent that holds the newest copy.
 *
 * <p>All steps run on the serial executor of the request.
 */
public final class JournalOpener {
    /** A takeover fails when another router is faster; the entry is then read again. */
    private static final int MAX_ROUNDS = 3;

    private final JournalAgents agents;
    private final GenerationRequest request;
    private final @Nullable ResumePosition resume;
    private final String routerName;
    private final int nonce;
    private final Executor serial;
    private final Listener listener;

    private int round;
    private int outstandingCount;
    private @Nullable FoundAnswer newest;
    private @Nullable JournalAgent newestAgent;

    /**
     * Creates an opener.
     *
     * @param resume where the caller wants to go on, or null
     * @param nonce random number that tells the epochs of this router's writer from those of others
     */
    public JournalOpener(
            JournalAgents agents,
            GenerationRequest request,
            @Nullable ResumePosition resume,
            String routerName,
            int nonce,
            Executor serial,
            Listener listener) {
        this.agents = agents;
        this.request = request;
        this.resume = resume;
        this.routerName = routerName;
        this.nonce = nonce;
        this.serial = serial;
        this.listener = listener;
    }

    /** Asks the agents that may hold the entry. */
    public void start() {
        round++;
        newest = null;
        newestAgent = null;
        List<JournalAgent> candidates =
                agents.readCandidates(request.id(), resume == null ? null : resume.journalAgentId());
        outstandingCount = candidates.size();
        if (candidates.isEmpty()) {
            decide();
        }
        candidates.forEach(candidate ->
                candidate.read(request.id(), reply -> serial.execute(() -> onReadReply(candidate, reply))));
    }

    private void onReadReply(JournalAgent from, @Nullable JournalReply reply) {
        FoundAnswer found = reply == null ? null : reply.found();
        FoundAnswer known = newest;
        if (found != null && (known == null || found.isNewerThan(known))) {
            newest = found;
            newestAgent = from;
        }
        outstandingCount--;
        if (outstandingCount == 0) {
            decide();
        }
    }

    private void decide() {
        FoundAnswer found = newest;
        JournalAgent holder = newestAgent;
        try {
            OpenDecision decision = OpenDecision.decide(found, resume, request.bodyDigest());
            if (found == null || holder == null || decision == OpenDecision.FRESH) {
                listener.onFresh();
            } else if (decision == OpenDecision.REPLAY) {
                listener.onFinished(found);
            } else {
                long epoch = EpochSpan.nextEpoch(found.epoch(), nonce);
                holder.takeOver(
                        request.id(),
                        epoch,
                        routerName,
                        reply -> serial.execute(() -> onTakeOverReply(holder, epoch, reply)));
            }
        } catch (LaburnummoorException refused) {
            listener.onRefused(refused.errorCode(), String.valueOf(refused.getMessage()));
        }
    }

    private void onTakeOverReply(JournalAgent holder, long epoch, @Nullable JournalReply reply) {
        FoundAnswer taken = reply == null ? null : reply.found();
        if (taken != null && taken.finishReason() == null && taken.epoch() == epoch) {
            listener.onTakenOver(holder, taken);
        } else if (round < MAX_ROUNDS) {
            start();
        } else {
            listener.onRefused(ErrorCode.JOURNAL_UNAVAILABLE, "the journal of the answer could not be taken over");
        }
    }

    /** Receives the one outcome. */
    public interface Listener {
        /** No entry exists; the answer starts from the beginning. */
        void onFresh();

        /** The answer is complete. */
        void onFinished(FoundAnswer found);

        /** This router is the writer of the answer now. */
        void onTakenOver(JournalAgent holder, FoundAnswer taken);

        /** The request cannot be served. */
        void onRefused(ErrorCode code, String detail);
    }
}
