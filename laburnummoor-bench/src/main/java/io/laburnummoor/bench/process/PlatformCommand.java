package io.laburnummoor.bench.process;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.core.connection.Upstream;
import io.laburnummoor.wire.process.StopSignal;

/** Runs a stand-in platform. */
@Parameters(commandDescription = "Run a stand-in key-value service with a list of VMs")
final class PlatformCommand implements BenchCommand {
    @Parameter(names = "--port", required = true, description = "port to listen on")
    private int port;

    @Parameter(names = "--vm", description = "id:service:failure-domain:port:agent-port of an upstream on 127.0.0.1")
    private List<String> vms = new ArrayList<>();

    @Override
    public int run() {
        PlatformStandIn platform = new PlatformStandIn("127.0.0.1", port);
        platform.setVms(vms.stream().map(PlatformCommand::parse).toList());
        StopSignal.runUntilStopped(List.of(platform));
        return 0;
    }

    private static Upstream parse(String text) {
        String[] fields = text.split(":");
        return new Upstream(
                fields[0],
                fields[1],
                fields[2],
                "127.0.0.1",
                Integer.parseInt(fields[3]),
                Integer.parseInt(fields[4]),
                false);
    }
}
