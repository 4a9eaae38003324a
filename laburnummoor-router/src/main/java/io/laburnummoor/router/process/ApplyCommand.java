package io.laburnummoor.router.process;

import java.net.URI;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.KeyValueStore;
import io.laburnummoor.core.process.KeyValueStore.VersionedValue;
import io.laburnummoor.core.version.ConfigSet;
import io.laburnummoor.router.version.ConfigFollower;
import io.laburnummoor.wire.process.EtcdKeyValueStore;
import io.laburnummoor.wire.process.JsonHttp;
import io.laburnummoor.wire.version.ConfigCodec;
import io.laburnummoor.wire.version.DeclarationReader;

/** Puts a file of declarations in force. */
@Parameters(commandDescription = "Put a file of declarations in force")
final class ApplyCommand implements Command {
    private static final int TIMEOUT_MILLIS = 5_000;

    @Parameter(names = "--key-value-address", required = true, description = "address of the key-value service")
    private String keyValueAddress = "";

    @Parameter(names = "--declarations", required = true, description = "TOML file of declarations")
    private String declarationsFile = "";

    @Override
    public void run() {
        JsonHttp http = new JsonHttp(TIMEOUT_MILLIS);
        KeyValueStore store = new EtcdKeyValueStore(http, URI.create(keyValueAddress));
        ConfigCodec codec = new ConfigCodec();
        VersionedValue before = store.get(ConfigFollower.CONFIG_KEY);
        long revision = before == null ? 1 : codec.decode(before.value()).revision() + 1;
        ConfigSet next = DeclarationReader.read(Path.of(declarationsFile), revision);
        long expectedVersion = before == null ? KeyValueStore.ABSENT : before.version();
        if (store.compareAndSwap(ConfigFollower.CONFIG_KEY, expectedVersion, codec.encode(next))
                == KeyValueStore.ABSENT) {
            throw new LaburnummoorException(
                    ErrorCode.CONFLICT, "another operator has changed the configuration meanwhile");
        }
        System.out.println("revision " + revision + " applied");
        http.stop();
    }
}
