package io.laburnummoor.router.process;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.inject.Guice;
import com.google.inject.Key;
import com.google.inject.TypeLiteral;
import io.laburnummoor.core.Service;
import io.laburnummoor.wire.process.Logging;
import io.laburnummoor.wire.process.StopSignal;

/** Runs a router until it receives a stop signal. */
@Parameters(commandDescription = "Run a router until it is asked to stop")
final class ServeCommand implements Command {
    @Parameter(names = "--settings", description = "TOML file with the settings of this router", required = true)
    private String settingsFile = "";

    @Override
    public void run() {
        RouterSettings settings = RouterSettings.read(Path.of(settingsFile));
        Logging.configure(settings.logLevel());
        List<Service> services = Guice.createInjector(new RouterModule(settings))
                .getInstance(Key.get(new TypeLiteral<List<Service>>() {}));
        StopSignal.runUntilStopped(services);
    }
}
