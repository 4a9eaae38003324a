package io.laburnummoor.bench.process;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.laburnummoor.bench.request.StreamClient;
import io.laburnummoor.bench.request.TokenOracle;

/** Makes streamed requests and checks each answer token by token. */
final class CheckedCaller {
    private final HttpClient http;
    private final String version;

    CheckedCaller(HttpClient http, String version) {
        this.http = http;
        this.version = version;
    }

    /** Makes one request and returns how it ended; a complete answer with a wrong token ends with "wrong_token". */
    StreamClient.StreamEnd call(URI router, String caller, String prompt, int maxTokens) throws InterruptedException {
        ObjectNode body = HttpStandIn.MAPPER.createObjectNode();
        body.put("service", LocalDeployment.SERVICE).put("prompt", prompt);
        body.put("max_tokens", maxTokens).put("stream", true);
        List<Integer> tokenIds = new ArrayList<>();
        StreamClient.StreamEnd end = new StreamClient(http, LocalDeployment.CALLER_KEY, caller)
                .run(router, body, null, null, (id, offset, tokenId, text) -> tokenIds.add(tokenId));
        boolean wrong = end.complete()
                && (tokenIds.size() != maxTokens || new TokenOracle(version, prompt).firstInvalid(tokenIds) >= 0);
        return wrong ? new StreamClient.StreamEnd("wrong_token", false) : end;
    }
}
