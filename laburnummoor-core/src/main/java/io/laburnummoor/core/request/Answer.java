package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;

import io.laburnummoor.core.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Decides which tokens make up the answer to one request and when attempts are started, hedged and cancelled.
 *
 * <p>The answer is a deterministic state machine. Events come in through the {@code on…} methods, one at a time on the
 * serial executor of the request, and decisions go out through {@link AnswerEffects}. A token is accepted only from the
 * current attempt and with the next offset, and is delivered only after the journal has acknowledged it.
 *
 * <pre>{@code
 * Answer answer = new Answer(200, List.of(), stallPolicy, effects);
 * answer.start(clock.nowMillis());
 * answer.onAttach(0);
 * answer.onToken(1, 0, token, clock.nowMillis());
 * answer.onJournalAck(1, false);
 * }</pre>
 */
public final class Answer {
    /** Time without progress after which the answer fails. */
    static final long NO_PROGRESS_TIMEOUT_MILLIS = 30_000;
    /** Time for which a generation continues without an attached caller. */
    static final long DETACH_TIMEOUT_MILLIS = 30_000;

    private static final long FIRST_BACKOFF_MILLIS = 20;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final int NO_ATTEMPT = 0;

    private final int maxTokens;
    private final StallPolicy stallPolicy;
    private final AnswerEffects effects;
    private final List<Token> accepted;

    private int lastAttempt;
    private int currentAttempt = NO_ATTEMPT;
    private int hedgeAttempt = NO_ATTEMPT;
    private int attemptsWithoutProgress;
    private int journaledCount;
    private int deliveredCount;
    private boolean hasDelivered;
    private boolean attached;
    private boolean ended;
    private @Nullable FinishReason finishReason;
    private long stallDeadlineMillis = Long.MAX_VALUE;
    private long retryAtMillis = Long.MAX_VALUE;
    private long progressDeadlineMillis;
    private long detachDeadlineMillis;

    /**
     * Creates an answer that continues after tokens read from the journal. They are delivered once the journal has
     * acknowledged them under the epoch of this writer.
     *
     * @param maxTokens maximum number of tokens of the whole answer
     * @param journaled tokens that the journal already holds, empty for a new answer
     */
    public Answer(int maxTokens, List<Token> journaled, StallPolicy stallPolicy, AnswerEffects effects) {
        this.maxTokens = maxTokens;
        this.stallPolicy = stallPolicy;
        this.effects = effects;
        this.accepted = new ArrayList<>(journaled);
    }

    /** Starts the first attempt, or ends the answer if the journal already holds all of its tokens. */
    public void start(long nowMillis) {
        progressDeadlineMillis = nowMillis + NO_PROGRESS_TIMEOUT_MILLIS;
        detachDeadlineMillis = nowMillis + DETACH_TIMEOUT_MILLIS;
        if (accepted.size() >= maxTokens) {
            complete(FinishReason.LENGTH);
            return;
        }
        startCurrentAttempt(accepted.isEmpty() ? AttemptReason.FIRST : AttemptReason.RESUME, nowMillis);
    }

    /** Records that an attempt was sent to an upstream; a queued attempt is sent later than it is started. */
    public void onAttemptSent(int attempt, long nowMillis) {
        if (isActive(attempt) && finishReason == null) {
            stallDeadlineMillis = stallPolicy.firstTokenDeadlineMillis(nowMillis);
        }
    }

    /**
     * Handles a token, whose offset counts from the start of the whole answer. A token of another attempt cancels that
     * attempt, a token that was accepted before is ignored, and a gap in the offsets fails the attempt.
     */
    public void onToken(int attempt, int offset, Token token, long nowMillis) {
        if (!isActive(attempt) || finishReason != null) {
            effects.cancelAttempt(attempt);
            return;
        }
        if (offset < accepted.size()) {
            return;
        }
        if (offset > accepted.size()) {
            effects.cancelAttempt(attempt);
            onAttemptFailed(attempt, AttemptFailure.UPSTREAM_ERROR, nowMillis);
            return;
        }
        makeCurrent(attempt);
        accepted.add(token);
        recordProgress(nowMillis);
        effects.appendToJournal(offset, List.of(token));
        if (accepted.size() == maxTokens) {
            complete(FinishReason.LENGTH);
        }
    }

    /** Handles the normal end of an attempt's stream after the given number of tokens of the whole answer. */
    public void onEnd(int attempt, int tokenCount, FinishReason reason, long nowMillis) {
        if (!isActive(attempt) || finishReason != null) {
            return;
        }
        if (tokenCount != accepted.size()) {
            onAttemptFailed(attempt, AttemptFailure.UPSTREAM_ERROR, nowMillis);
            return;
        }
        makeCurrent(attempt);
        complete(reason);
    }

    /** Handles a failed attempt: its hedge takes over, or a new attempt is started. */
    public void onAttemptFailed(int attempt, AttemptFailure failure, long nowMillis) {
        if (!isActive(attempt) || finishReason != null) {
            return;
        }
        if (attempt == hedgeAttempt) {
            hedgeAttempt = NO_ATTEMPT;
            stallDeadlineMillis = stallPolicy.firstTokenDeadlineMillis(nowMillis);
            return;
        }
        if (hedgeAttempt != NO_ATTEMPT) {
            currentAttempt = hedgeAttempt;
            hedgeAttempt = NO_ATTEMPT;
            return;
        }
        currentAttempt = NO_ATTEMPT;
        stallDeadlineMillis = Long.MAX_VALUE;
        scheduleRetry(nowMillis);
    }

    /** Handles the journal's acknowledgement of the first {@code tokenCount} tokens and, if set, of the end. */
    public void onJournalAck(int tokenCount, boolean endAcknowledged) {
        if (ended) {
            return;
        }
        journaledCount = Math.max(journaledCount, Math.min(tokenCount, accepted.size()));
        deliverJournaled();
        if (endAcknowledged && finishReason != null) {
            ended = true;
            effects.finish(accepted.size(), finishReason);
        }
    }

    /** Restarts the answer from the beginning because no upstream of the version that it was bound to is left. */
    public void restart(long nowMillis) {
        if (hasDelivered) {
            throw new IllegalStateException("cannot restart the answer: tokens were already delivered to the caller");
        }
        cancelActiveAttempts();
        hedgeAttempt = NO_ATTEMPT;
        accepted.clear();
        journaledCount = 0;
        attemptsWithoutProgress = 0;
        startCurrentAttempt(AttemptReason.FIRST, nowMillis);
    }

    /** Returns whether a caller has received tokens of this answer. */
    public boolean hasDelivered() {
        return hasDelivered;
    }

    /** Handles the loss of the journal entry: delivery waits until another agent holds the tokens. */
    public void onJournalCopyLost() {
        journaledCount = 0;
    }

    /** Handles the attachment of a caller that wants the tokens from the given offset on. */
    public void onAttach(int offset) {
        attached = true;
        deliveredCount = offset;
        hasDelivered |= offset > 0;
        deliverJournaled();
    }

    /** Handles the loss of the caller's connection. */
    public void onDetach(long nowMillis) {
        attached = false;
        detachDeadlineMillis = nowMillis + DETACH_TIMEOUT_MILLIS;
    }

    /** Ends the answer with an error and cancels its attempts. */
    public void onFailure(ErrorCode code, String detail) {
        if (ended) {
            return;
        }
        ended = true;
        cancelActiveAttempts();
        effects.fail(code, detail);
    }

    /** Checks the deadlines. */
    public void onTick(long nowMillis) {
        if (ended) {
            return;
        }
        if (!attached && nowMillis >= detachDeadlineMillis) {
            onFailure(ErrorCode.DEADLINE_EXCEEDED, "no caller attached before the detach deadline");
        } else if (finishReason != null) {
            return;
        } else if (nowMillis >= progressDeadlineMillis) {
            onFailure(ErrorCode.NO_UPSTREAM, "no upstream made progress before the deadline");
        } else if (nowMillis >= retryAtMillis) {
            startCurrentAttempt(accepted.isEmpty() ? AttemptReason.FIRST : AttemptReason.RESUME, nowMillis);
        } else if (nowMillis >= stallDeadlineMillis) {
            hedge(nowMillis);
        }
    }

    /** Returns whether the answer has ended, normally or with an error. */
    public boolean isEnded() {
        return ended;
    }

    public boolean isAttached() {
        return attached;
    }

    /** Returns the reason why the answer is complete, or null while it is not. */
    public @Nullable FinishReason finishReason() {
        return finishReason;
    }

    public int acceptedCount() {
        return accepted.size();
    }

    /** Returns a copy of the accepted tokens. */
    public List<Token> accepted() {
        return List.copyOf(accepted);
    }

    private boolean isActive(int attempt) {
        return !ended && attempt != NO_ATTEMPT && (attempt == currentAttempt || attempt == hedgeAttempt);
    }

    private void makeCurrent(int attempt) {
        if (attempt == hedgeAttempt) {
            effects.cancelAttempt(currentAttempt);
            currentAttempt = attempt;
        } else if (hedgeAttempt != NO_ATTEMPT) {
            effects.cancelAttempt(hedgeAttempt);
        }
        hedgeAttempt = NO_ATTEMPT;
    }

    private void recordProgress(long nowMillis) {
        attemptsWithoutProgress = 0;
        progressDeadlineMillis = nowMillis + NO_PROGRESS_TIMEOUT_MILLIS;
        stallDeadlineMillis = stallPolicy.nextTokenDeadlineMillis(nowMillis);
    }

    private void startCurrentAttempt(AttemptReason reason, long nowMillis) {
        retryAtMillis = Long.MAX_VALUE;
        currentAttempt = ++lastAttempt;
        // A resumed attempt may be queued; its stall deadline starts when it is sent.
        stallDeadlineMillis =
                reason == AttemptReason.RESUME ? Long.MAX_VALUE : stallPolicy.firstTokenDeadlineMillis(nowMillis);
        effects.startAttempt(currentAttempt, accepted(), reason);
    }

    /**
     * Starts a second attempt in parallel to a stalled one. If the second one stalls too, it replaces the first and
     * another hedge is started.
     */
    private void hedge(long nowMillis) {
        if (hedgeAttempt != NO_ATTEMPT) {
            effects.cancelAttempt(currentAttempt);
            currentAttempt = hedgeAttempt;
        }
        hedgeAttempt = ++lastAttempt;
        stallDeadlineMillis = stallPolicy.firstTokenDeadlineMillis(nowMillis);
        effects.startAttempt(hedgeAttempt, accepted(), AttemptReason.HEDGE);
    }

    /** Retries the first failure after progress immediately and later ones with exponential backoff. */
    private void scheduleRetry(long nowMillis) {
        attemptsWithoutProgress++;
        if (attemptsWithoutProgress == 1) {
            startCurrentAttempt(accepted.isEmpty() ? AttemptReason.FIRST : AttemptReason.RESUME, nowMillis);
            return;
        }
        long backoffMillis = FIRST_BACKOFF_MILLIS << Math.min(attemptsWithoutProgress - 2, 10);
        retryAtMillis = nowMillis + Math.min(backoffMillis, MAX_BACKOFF_MILLIS);
    }

    private void complete(FinishReason reason) {
        finishReason = reason;
        if (hedgeAttempt != NO_ATTEMPT) {
            effects.cancelAttempt(hedgeAttempt);
            hedgeAttempt = NO_ATTEMPT;
        }
        stallDeadlineMillis = Long.MAX_VALUE;
        effects.finishJournal(accepted.size(), reason);
    }

    private void cancelActiveAttempts() {
        if (currentAttempt != NO_ATTEMPT) {
            effects.cancelAttempt(currentAttempt);
        }
        if (hedgeAttempt != NO_ATTEMPT) {
            effects.cancelAttempt(hedgeAttempt);
        }
    }

    private void deliverJournaled() {
        if (attached && deliveredCount < journaledCount) {
            int offset = deliveredCount;
            deliveredCount = journaledCount;
            hasDelivered = true;
            effects.deliver(offset, List.copyOf(accepted.subList(offset, deliveredCount)));
        }
    }
}
