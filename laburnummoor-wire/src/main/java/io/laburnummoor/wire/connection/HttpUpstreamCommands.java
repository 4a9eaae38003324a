package io.laburnummoor.wire.connection;

import java.io.IOException;
import java.net.URI;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.core.process.FencedOrderExecutor;
import io.laburnummoor.core.version.UpstreamOrder;
import io.laburnummoor.wire.process.JsonHttp;
import org.jboss.logging.Logger;

/** Passes orders to an upstream by {@code POST /commands}, with the fencing token for upstreams that check it. */
public final class HttpUpstreamCommands implements FencedOrderExecutor.Upstream {
    private static final Logger LOGGER = Logger.getLogger(HttpUpstreamCommands.class);

    private final ObjectMapper mapper = new ObjectMapper();
    private final JsonHttp http;
    private final URI upstreamAddress;

    /** Creates a client of the upstream at an address. */
    public HttpUpstreamCommands(JsonHttp http, URI upstreamAddress) {
        this.http = http;
        this.upstreamAddress = upstreamAddress;
    }

    @Override
    public boolean isDone(UpstreamOrder order) {
        try {
            JsonNode health = http.get(upstreamAddress.resolve("/health"));
            return switch (order.kind()) {
                case LOAD_VERSION -> health.path("version").asText().equals(order.target());
                case LOAD_MODEL -> health.path("model").asText().equals(order.target());
                case CHANGE_ROLE -> health.path("role").asText().equals(order.target());
                case LOAD_ADAPTER -> contains(health.path("adapters"), order.target());
                case DRAIN -> health.path("leaving").asBoolean();
            };
        } catch (IOException unanswered) {
            return false;
        }
    }

    @Override
    public boolean execute(UpstreamOrder order) {
        ObjectNode body = mapper.createObjectNode();
        body.put("command", order.kind().name().toLowerCase(Locale.ROOT));
        body.put("target", order.target()).put("order_id", order.id()).put("fencing_token", order.fencingToken());
        try {
            http.post(upstreamAddress.resolve("/commands"), body);
            return true;
        } catch (IOException failure) {
            LOGGER.warnf("upstream did not carry out order %s: %s", order.id(), failure.getMessage());
            return false;
        }
    }

    private static boolean contains(JsonNode names, String name) {
        for (JsonNode each : names) {
            if (each.asText().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
