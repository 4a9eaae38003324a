package io.laburnummoor.router.process;

import java.net.URI;
import java.time.Instant;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.core.Clock;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.process.RolloutController;
import io.laburnummoor.core.version.RolloutState;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.version.RolloutJson;

/** Shows the state of a rollout and its events with their evidence, or rolls it back. */
@Parameters(commandDescription = "Show a rollout and its events with their evidence, or roll it back")
final class RolloutCommand implements Command {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int MAX_ABORT_ATTEMPTS = 5;

    @Parameter(names = "--key-value-address", required = true, description = "address of the key-value service")
    private String keyValueAddress = "";

    @Parameter(names = "--name", required = true, description = "name of the rollout")
    private String name = "";

    @Parameter(names = "--abort", description = "permanently roll back to the old version")
    private boolean abort;

    @Parameter(names = "--reason", description = "reason for the rollback, stored in its event log")
    private String reason = "aborted by an operator";

    @Override
    public void run() {
        JsonHttp http = new JsonHttp(TIMEOUT_MILLIS);
        try {
            KeyValueStore store = new EtcdKeyValueStore(http, URI.create(keyValueAddress));
            System.out.print(describe(abort ? abort(store) : readState(store).state()));
        } finally {
            http.stop();
        }
    }

    private RolloutState abort(KeyValueStore store) {
        for (int i = 0; i < MAX_ABORT_ATTEMPTS; i++) {
            VersionedState current = readState(store);
            if (current.state().phase() == RolloutState.Phase.ROLLED_BACK) {
                return current.state();
            }
            if (current.state().phase() != RolloutState.Phase.RUNNING) {
                throw new LaburnummoorException(
                        ErrorCode.CONFLICT,
                        "rollout " + name + " has already ended as "
                                + current.state().phase().text()
                                + "; to revert it, declare a rollout in the opposite direction");
            }
            RolloutState next = current.state().rolledBack(Clock.wall().nowMillis(), reason);
            String encoded = new RolloutJson().encode(next);
            if (store.compareAndSwap(RolloutController.key(name), current.version(), encoded) != KeyValueStore.ABSENT) {
                return next;
            }
        }
        throw new LaburnummoorException(
                ErrorCode.CONFLICT, "rollout " + name + " was changed concurrently at every attempt; try again");
    }

    private VersionedState readState(KeyValueStore store) {
        VersionedValue value = store.get(RolloutController.key(name));
        if (value == null) {
            throw new LaburnummoorException(ErrorCode.BAD_REQUEST, "no rollout has the name " + name);
        }
        return new VersionedState(new RolloutJson().decode(value.value()), value.version());
    }

    private static String describe(RolloutState state) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "rollout %s: %s, service %s, %s -> %s%n",
                state.name(), state.phase().text(), state.service(), state.fromVersion(), state.toVersion()));
        text.append(String.format(
                "share %.1f%%, complete by %s%s%n",
                state.sharePerMille() / 10.0,
                Instant.ofEpochMilli(state.completeByMillis()),
                state.lateReported() ? ", reported late" : ""));
        for (RolloutState.Event each : state.events()) {
            text.append(String.format(
                    "%s  %-11s  %s%n", Instant.ofEpochMilli(each.atMillis()), each.kind(), each.detail()));
        }
        return text.toString();
    }

    private record VersionedState(RolloutState state, long version) {}
}
