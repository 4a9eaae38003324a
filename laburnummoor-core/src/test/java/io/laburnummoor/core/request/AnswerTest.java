package io.laburnummoor.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.laburnummoor.core.ErrorCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/** Guards against tokens that are missing, repeated or taken from a stale attempt. */
final class AnswerTest {
    private static final StallPolicy STALL_POLICY = new StallPolicy() {
        @Override
        public long firstTokenDeadlineMillis(long nowMillis) {
            return nowMillis + 1_000;
        }

        @Override
        public long nextTokenDeadlineMillis(long nowMillis) {
            return nowMillis + 100;
        }
    };

    static List<Arguments> scripts() {
        return List.of(
                script(
                        "a token is delivered after its acknowledgement",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onJournalAck(1, false);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "deliver 0+1"),
                script(
                        "a token of an unknown attempt is dropped and its stream cancelled",
                        5,
                        answer -> {
                            answer.onToken(7, 0, token(0), 0);
                        },
                        "start 1 FIRST",
                        "cancel 7"),
                script(
                        "a repeated token is dropped",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onToken(1, 0, token(0), 0);
                        },
                        "start 1 FIRST",
                        "append 0"),
                script(
                        "a gap in the stream starts another attempt",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onToken(1, 2, token(2), 0);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "cancel 1",
                        "start 2 RESUME"),
                script(
                        "a hedge that sends a token first becomes the current attempt",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onTick(150);
                            answer.onToken(2, 1, token(1), 160);
                            answer.onToken(1, 1, token(1), 161);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "start 2 HEDGE",
                        "cancel 1",
                        "append 1",
                        "cancel 1"),
                script(
                        "a silent attempt that sends a token first stays the current attempt",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onTick(150);
                            answer.onToken(1, 1, token(1), 160);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "start 2 HEDGE",
                        "cancel 2",
                        "append 1"),
                script(
                        "a restart drops undelivered tokens",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.restart(10);
                            answer.onToken(1, 1, token(1), 20);
                            answer.onToken(2, 0, token(5), 20);
                            answer.onJournalAck(1, false);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "cancel 1",
                        "start 2 FIRST",
                        "cancel 1",
                        "append 0",
                        "deliver 0+1"),
                script(
                        "no token is delivered from the loss of a journal copy until the next acknowledgement",
                        5,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onJournalAck(1, false);
                            answer.onJournalCopyLost();
                            answer.onDetach(1);
                            answer.onAttach(0);
                            answer.onJournalAck(1, false);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "deliver 0+1",
                        "deliver 0+1"),
                script(
                        "the end is delivered after its acknowledgement",
                        1,
                        answer -> {
                            answer.onToken(1, 0, token(0), 0);
                            answer.onJournalAck(1, true);
                        },
                        "start 1 FIRST",
                        "append 0",
                        "finishJournal 1",
                        "deliver 0+1",
                        "finish 1"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scripts")
    void eventsLeadToExpectedEffects(String name, int maxTokens, Consumer<Answer> events, List<String> expected) {
        RecordingEffects effects = new RecordingEffects();
        Answer answer = new Answer(maxTokens, List.of(), STALL_POLICY, effects);
        answer.start(0);
        answer.onAttach(0);

        events.accept(answer);

        assertThat(effects.calls, contains(expected.toArray(String[]::new)));
        assertThat(answer.isAttached(), is(true));
    }

    private static Arguments script(String name, int maxTokens, Consumer<Answer> events, String... expected) {
        return Arguments.of(name, maxTokens, events, List.of(expected));
    }

    private static Token token(int id) {
        return new Token(id, "t" + id);
    }

    private static final class RecordingEffects implements AnswerEffects {
        private final List<String> calls = new ArrayList<>();

        @Override
        public void startAttempt(int attempt, List<Token> accepted, AttemptReason reason) {
            calls.add("start " + attempt + " " + reason);
        }

        @Override
        public void cancelAttempt(int attempt) {
            calls.add("cancel " + attempt);
        }

        @Override
        public void appendToJournal(int offset, List<Token> tokens) {
            calls.add("append " + offset);
        }

        @Override
        public void finishJournal(int tokenCount, FinishReason reason) {
            calls.add("finishJournal " + tokenCount);
        }

        @Override
        public void deliver(int offset, List<Token> tokens) {
            calls.add("deliver " + offset + "+" + tokens.size());
        }

        @Override
        public void finish(int tokenCount, FinishReason reason) {
            calls.add("finish " + tokenCount);
        }

        @Override
        public void fail(ErrorCode code, String detail) {
            calls.add("fail " + code.code());
        }
    }
}
