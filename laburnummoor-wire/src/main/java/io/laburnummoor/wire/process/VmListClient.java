package io.laburnummoor.wire.process;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.connection.Upstream;

/** Reads the platform's list of live and leaving VMs. */
public final class VmListClient {
    private final JsonHttp http;
    private final URI address;

    /** Creates a client of the list at an address. */
    public VmListClient(JsonHttp http, URI address) {
        this.http = http;
        this.address = address;
    }

    public VmList read() throws IOException {
        JsonNode list = http.get(address);
        List<Upstream> upstreams = new ArrayList<>();
        for (JsonNode vm : list.path("vms")) {
            upstreams.add(new Upstream(
                    vm.path("id").asText(),
                    vm.path("service").asText(),
                    vm.path("failure_domain").asText(),
                    vm.path("host").asText(),
                    vm.path("port").asInt(),
                    vm.path("agent_port").asInt(),
                    vm.path("leaving").asBoolean()));
        }
        List<RouterPeer> routers = new ArrayList<>();
        for (JsonNode vm : list.path("routers")) {
            routers.add(new RouterPeer(
                    vm.path("name").asText(),
                    vm.path("failure_domain").asText(),
                    vm.path("host").asText(),
                    vm.path("peer_port").asInt()));
        }
        return new VmList(upstreams, routers);
    }
}
