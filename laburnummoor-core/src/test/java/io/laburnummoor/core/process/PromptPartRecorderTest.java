package io.laburnummoor.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.PromptPartCrash;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Guards against a harmful prompt part that crashes upstreams anew after all routers have ended at the same time. */
final class PromptPartRecorderTest {
    private static final List<String> DEADLY = List.of("deadly");

    private final FaultyStore store = new FaultyStore();
    private final Map<String, SuspectPromptPart> documentsByText = new HashMap<>();
    private final List<String> routers = new ArrayList<>();
    private long nowMillis = 1_000_000;

    /** One router, which sees every key of the store that it has not written itself. */
    private final class Router {
        private final PromptPartQuarantine quarantine;
        private final PromptPartRecorder recorder;

        Router(String name) {
            routers.add(name);
            quarantine = new PromptPartQuarantine(
                    () -> nowMillis, new PromptPartTrials(name, () -> routers), new PromptPartQuarantine.Listener() {
                        @Override
                        public void blocked(BlockedPromptParts.Entry parts, long trialDueMillis) {}

                        @Override
                        public void released(BlockedPromptParts.Entry parts) {}
                    });
            recorder = new PromptPartRecorder(
                    store,
                    quarantine,
                    new TextDocuments(),
                    name,
                    () -> routers.stream().filter(each -> !each.equals(name)).toList(),
                    () -> nowMillis);
            readStore();
        }

        void readStore() {
            String key = PromptPartRecorder.KEY_PREFIX + Long.toHexString(RendezvousHash.hash("deadly"));
            KeyValueStore.VersionedValue stored = store.get(key);
            recorder.apply(key, stored == null ? null : stored.value(), stored == null ? 0 : stored.version());
        }

        void tick() {
            try {
                recorder.tick();
            } catch (LaburnummoorException unavailable) {
                // The next tick tries again.
            }
        }
    }

    private final class TextDocuments implements PromptPartRecorder.Documents {
        @Override
        public String encode(SuspectPromptPart part) {
            documentsByText.put(part.toString(), part);
            return part.toString();
        }

        @Override
        public SuspectPromptPart decode(String document) {
            return documentsByText.getOrDefault(document, new SuspectPromptPart("unknown", List.of(), 0));
        }
    }

    private void crashUntilBlocked(Router router) {
        for (int i = 0; i < 4; i++) {
            router.quarantine.recordCrash(DEADLY, new PromptPartCrash(i, nowMillis, i));
            nowMillis += 1_000;
        }
    }

    private void runFor(long millis, List<Router> running, Consumer<Router> eachTick) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += 500) {
            running.forEach(eachTick);
        }
    }

    @ParameterizedTest(name = "first write: {0}")
    @EnumSource(FaultyStore.WriteFault.class)
    void aBlockedPartSurvivesTheEndOfAllRouters(FaultyStore.WriteFault fault) {
        Router router = new Router("router-1");
        store.addFault(fault);
        crashUntilBlocked(router);
        runFor(3_000, List.of(router), each -> {
            each.tick();
            each.readStore();
        });
        store.applyDelayedWrite();
        routers.clear();

        Router restarted = new Router("router-1");

        assertThat(restarted.quarantine.isBlocked(DEADLY), is(true));
    }

    /**
     * Guards against a blocked part that no router writes again, because its document was lost when the store was
     * restored from a copy that is older.
     */
    @ParameterizedTest(name = "document in the copy: {0}")
    @ValueSource(booleans = {true, false})
    void aBlockedPartThatTheStoreLostIsWrittenAgain(boolean inCopy) {
        Router router = new Router("router-1");
        FaultyStore.Copy copy = store.copy();
        crashUntilBlocked(router);
        runFor(3_000, List.of(router), Router::tick);
        assertThat("written", store.revision() > 0, is(true));
        store.restore(inCopy ? store.copy() : copy);

        router.recorder.startEra(store.era());
        if (inCopy) {
            router.readStore();
        }
        long before = store.revision();
        runFor(3_000, List.of(router), Router::tick);
        routers.clear();

        assertThat(new Router("router-2").quarantine.isBlocked(DEADLY), is(true));
        assertThat(store.revision() - before, is(inCopy ? 0L : 1L));
    }

    @ParameterizedTest(name = "{0} routers")
    @ValueSource(ints = {1, 3, 33})
    void onlyOneRouterWrites(int count) {
        List<Router> running = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            running.add(new Router("router-" + i));
        }
        crashUntilBlocked(running.get(0));
        SuspectPromptPart evidence = running.get(0).quarantine.blockedParts().get(0);
        running.forEach(each -> each.quarantine.merge(List.of(evidence)));
        long before = store.revision();
        runFor(60_000, running, each -> {
            each.tick();
            each.readStore();
        });

        assertThat(store.revision() - before, is(lessThanOrEqualTo(1L)));
        assertThat(store.revision() > 0, is(true));
    }

    @ParameterizedTest(name = "released after {0} ms")
    @ValueSource(longs = {2_000, 90_000})
    void aReleasedPartIsRemovedFromTheStore(long afterMillis) {
        Router router = new Router("router-1");
        crashUntilBlocked(router);
        runFor(afterMillis, List.of(router), Router::tick);

        router.quarantine.recordBegun(DEADLY);
        runFor(3_000, List.of(router), Router::tick);
        routers.clear();

        assertThat(new Router("router-2").quarantine.isBlocked(DEADLY), is(false));
    }
}
