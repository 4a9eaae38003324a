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
 * Notifies operators of rollout outcomes by a webhook, with retries until it answers with status 200 and a JSON body.
 *
 * <p>Acknowledged outcomes are kept in the store, so that the next controller does not send them again. A notification
 * may arrive twice; receivers can recognise duplicates by rollout name and outcome. Used by one thread.
 */
public final class RolloutNotifier {
    private static final Logger LOGGER = Logger.getLogger(RolloutNotifier.class);
    private static final String ACKNOWLEDGED_PREFIX = "rollouts/acknowledged/";
    /** Periods between two attempts to send a notification. */
    private static final int RETRY_PERIODS = 10;

    private final KeyValueStore store;
    private final JsonHttp http;
    private final String webhookAddress;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, String> acknowledged = new HashMap<>();
    private final Map<String, Integer> periodsToWait = new HashMap<>();

    /** Creates a notifier; an empty address disables it. */
    public RolloutNotifier(KeyValueStore store, JsonHttp http, String webhookAddress) {
        this.store = store;
        this.http = http;
        this.webhookAddress = webhookAddress;
    }

    /** Sends an outcome that is not acknowledged yet; called by the controller once per period. */
    public void onPeriod(RolloutState state) {
        boolean running = state.phase() == RolloutState.Phase.RUNNING;
        if (webhookAddress.isEmpty() || (running && !state.lateReported())) {
            return;
        }
        // A running rollout that is expected to be late is notified as such; its final outcome follows separately.
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
            LOGGER.warnf("webhook did not acknowledge rollout %s, will retry: %s", state.name(), failure.getMessage());
            return false;
        }
    }
}
