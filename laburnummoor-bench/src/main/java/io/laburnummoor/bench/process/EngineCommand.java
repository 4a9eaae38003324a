package io.laburnummoor.bench.process;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.wire.process.StopSignal;

/** Runs a stand-in engine. */
@Parameters(commandDescription = "Run a stand-in engine")
final class EngineCommand implements BenchCommand {
    @Parameter(names = "--port", required = true, description = "port to listen on")
    private int port;

    @Parameter(names = "--version", description = "upstream version")
    private String version = "v1";

    @Parameter(names = "--first-token-millis", description = "time to the first token")
    private long firstTokenMillis = 100;

    @Parameter(names = "--gap-millis", description = "time between tokens")
    private long gapMillis = 20;

    @Parameter(names = "--seed", description = "seed of random choices")
    private long seed = 1;

    @Override
    public int run() {
        EngineSettings settings = new EngineSettings(version, firstTokenMillis, gapMillis, seed);
        StopSignal.runUntilStopped(List.of(new EngineStandIn("127.0.0.1", port, settings)));
        return 0;
    }
}
