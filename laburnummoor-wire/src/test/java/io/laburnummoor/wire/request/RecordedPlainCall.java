package io.laburnummoor.wire.request;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Records the end of one call to a plain service: status and body of its response, or a word if there is none. */
public final class RecordedPlainCall implements PlainCallListener {
    private final CompletableFuture<String> result = new CompletableFuture<>();
    private final String neverSent;
    private final String lost;

    /**
     * Creates the record of a call that has not ended.
     *
     * @param neverSent result of a call that was not handed over
     * @param lost result of a call without a response
     */
    public RecordedPlainCall(String neverSent, String lost) {
        this.neverSent = neverSent;
        this.lost = lost;
    }

    /** Waits for the end of the call and returns its result. */
    public String await(long timeoutSeconds) throws Exception {
        return result.get(timeoutSeconds, TimeUnit.SECONDS);
    }

    @Override
    public void onResponse(PlainResponse response) {
        result.complete(response.status() + " " + new String(response.body(), StandardCharsets.US_ASCII));
    }

    @Override
    public void onNeverHandedOver(String reason) {
        result.complete(neverSent);
    }

    @Override
    public void onLost(String reason) {
        result.complete(lost);
    }
}
