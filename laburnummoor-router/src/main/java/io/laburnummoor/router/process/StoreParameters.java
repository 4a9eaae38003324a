package io.laburnummoor.router.process;

import java.net.URI;
import java.util.concurrent.locks.LockSupport;

import com.beust.jcommander.Parameter;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigRepository;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.version.ConfigCodec;

/** Command-line parameters shared by the commands that use the store. */
final class StoreParameters {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final long RETRY_DELAY_NANOS = 500_000_000;

    @Parameter(names = "--key-value-address", required = true, description = "address of the key-value service")
    private String keyValueAddress = "";

    private final JsonHttp http = new JsonHttp(TIMEOUT_MILLIS);

    ConfigRepository repository() {
        return new ConfigRepository(new EtcdKeyValueStore(http, URI.create(keyValueAddress)), new ConfigCodec());
    }

    ConfigPublisher publisher() {
        return new ConfigPublisher(repository(), () -> LockSupport.parkNanos(RETRY_DELAY_NANOS));
    }

    JsonHttp http() {
        return http;
    }
}
