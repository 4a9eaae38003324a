package io.laburnummoor.router.request;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.request.Answer;
import io.laburnummoor.core.request.JournalWriter;

/** Forwards journal events to the answer. */
final class AnswerJournalListener implements JournalWriter.Listener {
    private final Answer answer;

    AnswerJournalListener(Answer answer) {
        this.answer = answer;
    }

    @Override
    public void onAcknowledged(int tokenCount, boolean endAcknowledged) {
        answer.onJournalAck(tokenCount, endAcknowledged);
    }

    @Override
    public void onCopyLost() {
        answer.onJournalCopyLost();
    }

    @Override
    public void onFenced() {
        answer.onFailure(ErrorCode.SUPERSEDED, "another router has taken over this answer");
    }

    @Override
    public void onNoAgent() {
        if (answer.accepted().isEmpty()) {
            answer.onFailure(ErrorCode.JOURNAL_UNAVAILABLE, "no agent can keep the journal of the answer");
        }
    }
}
