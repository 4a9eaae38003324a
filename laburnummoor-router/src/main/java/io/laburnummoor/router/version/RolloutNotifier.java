package io.laburnummoor.router.version;

import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.wire.process.JsonHttp;
import org.jboss.logging.Logger;

/**
 * Tells operators the outcome of rollouts by a webhook, repeatedly until it answers with status 200 and a JSON body.
 *
 * <p>What was acknowledged is kept in the key-value service, so that the next controller goes on. A message may arrive
 * twice; it carries the rollout's name and the outcome to recognise it by. Used by one thread.
 */
public final class RolloutNotifier {
    private static final Logger LOGGER = Logger.getLogger(RolloutNotifier.class);
    private static final String ACKNOWLEDGED_PREFIX = "rollouts/acknowledged/";
    /** Periods between two attempts. */
    private static final int RETRY_PERIODS = 10;

    private final KeyValueStore store;
    private final JsonHttp http;
    private final String webhookAddress;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, String> acknowledged = new HashMap<>();
    private final Map<String, Integer> periodsToWait = new HashMap<>();

    /** Creates a notifier; an empty address turns it off. */
    public RolloutNotifier(KeyValueStore store, JsonHttp http, String webhookAddress) {
        this.store = store;
        this.http = http;
        this.webhookAddress = webhookAddress;
    }

    /** Sends what operators have not acknowledged yet; called by the controller once a period. */
    public void onPeriod(RolloutState state) {
        boolean running = state.phase() == RolloutState.Phase.RUNNING;
        if (webhookAddress.isEmpty() || (running && !state.lateReported())) {
            return;
        }
        // A rollout that was reported late while running has an outcome of its own later.
        String outcome = running ? "late_expected" : state.phase().text();
        if (outcome.equals(acknowledged.get(state.name())) || periodsToWait.merge(state.name(), -1, Integer::sum) > 0) {
            return;
        }
        periodsToWait.put(state.name(), RETRY_PERIODS);
        String key = ACKNOWLEDGED_PREFIX + state.name();
        VersionedValue known = store.get(key);
        if (known == null || !known.value().equals(outcome)) {
            if (!send(state, outcome)) {
                return;
            }
            store.compareAndSwap(key, known == null ? KeyValueStore.ABSENT : known.version(), outcome);
        }
        acknowledged.put(state.name(), outcome);
    }

    private boolean send(RolloutState state, String outcome) {
        ObjectNode body = mapper.createObjectNode();
        body.put("schema_version", 1).put("rollout", state.name()).put("outcome", outcome);
        body.put("service", state.service()).put("from_version", state.fromVersion());
        body.put("to_version", state.toVersion()).put("share_per_mille", state.sharePerMille());
        body.put("complete_by_millis", state.completeByMillis());
        RolloutState.Event last = state.events().get(state.events().size() - 1);
        body.put("at_millis", last.atMillis()).put("evidence", last.detail());
        try {
            http.post(URI.create(webhookAddress), body);
            return true;
        } catch (IOException failure) {
            LOGGER.warnf(
                    "webhook did not acknowledge rollout %s, it is sent again: %s", state.name(), failure.getMessage());
            return false;
        }
    }
}
