package io.laburnummoor.router.process;

import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.laburnummoor.core.process.ProcessStatus;
import io.laburnummoor.router.version.ConfigOperations;

/** Puts the declarations of all given files in force as one configuration revision. */
@Parameters(commandDescription = "Put the declarations of all files in force as one revision")
final class ApplyCommand implements Command {
    @ParametersDelegate
    private StoreParameters store = new StoreParameters();

    @Parameter(
            names = "--declarations",
            required = true,
            description = "TOML file with declarations; may be given several times")
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--merge", description = "keep declarations that are in force but not in the files")
    private boolean merge;

    @Parameter(names = "--expect-revision", description = "fail with a conflict if another revision is in force")
    private long expectedRevision = -1;

    @Parameter(
            names = "--operation-id",
            description = "id of this operation; reuse it to retry after an unknown outcome")
    private String operationId = UUID.randomUUID().toString();

    @Parameter(
            names = "--vm-list-address",
            description = "address of the VM list; required to introduce a new schema version")
    private String vmListAddress = "";

    @Override
    public void run() {
        ConfigOperations.Request request = new ConfigOperations.Request(
                files.stream().map(Path::of).toList(), merge, expectedRevision, operationId);
        new ConfigOperations(System.out).apply(store.publisher(), request, this::queryRouters);
        store.http().stop();
    }

    private List<ProcessStatus> queryRouters() {
        if (vmListAddress.isEmpty()) {
            throw new ParameterException(
                    "--vm-list-address is required: the declarations use a schema version that is not in force yet");
        }
        RouterStatusClient statusClient = new RouterStatusClient(store.http(), URI.create(vmListAddress));
        return RouterStatusClient.queryStatus(statusClient.readVmList().routers());
    }
}
