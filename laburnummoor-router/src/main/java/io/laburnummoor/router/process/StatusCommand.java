package io.laburnummoor.router.process;

import java.net.URI;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.core.process.ConfigRepository.Head;
import io.laburnummoor.core.process.ProcessStatus;
import io.laburnummoor.wire.process.VmList;

/** Shows the revision in force per router and the upstreams on the VM list. */
@Parameters(commandDescription = "Show the revision in force per router and the upstreams on the VM list")
final class StatusCommand implements Command {
    @ParametersDelegate
    private StoreParameters store = new StoreParameters();

    @Parameter(names = "--vm-list-address", required = true, description = "address of the VM list")
    private String vmListAddress = "";

    @Override
    public void run() {
        System.out.println(describeHead());
        VmList list = new RouterStatusClient(store.http(), URI.create(vmListAddress)).readVmList();
        for (ProcessStatus router : RouterStatusClient.queryStatus(list.routers())) {
            System.out.println(
                    router.answered()
                            ? String.format(
                                    "router %s in %s: revision %d, digest %.12s, reads schema versions %s",
                                    router.peer().name(),
                                    router.peer().failureDomain(),
                                    router.revision(),
                                    router.digest(),
                                    router.schemaVersions())
                            : String.format(
                                    "router %s in %s: did not answer",
                                    router.peer().name(), router.peer().failureDomain()));
        }
        for (Upstream upstream : list.upstreams()) {
            System.out.printf(
                    "upstream %s of service %s in %s: %s%n",
                    upstream.id(),
                    upstream.service(),
                    upstream.failureDomain(),
                    upstream.leaving() ? "leaving" : "live");
        }
        store.http().stop();
    }

    private String describeHead() {
        try {
            Head head = store.repository().head();
            return head == null
                    ? "head: no configuration"
                    : String.format(
                            "head: revision %d, digest %.12s, operation %s",
                            head.delta().revision(),
                            head.delta().digest(),
                            head.delta().operationId());
        } catch (LaburnummoorException unavailable) {
            return "head: " + unavailable.getMessage();
        }
    }
}
