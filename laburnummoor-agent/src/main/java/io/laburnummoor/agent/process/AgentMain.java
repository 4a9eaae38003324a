package io.laburnummoor.agent.process;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.inject.Guice;
import com.google.inject.Key;
import com.google.inject.TypeLiteral;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.laburnummoor.wire.process.Logging;
import io.laburnummoor.wire.process.StopSignal;

/** Command line of the agent: {@code laburnummoor-agent --settings agent.toml}. */
public final class AgentMain {
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--settings", description = "TOML file with the settings of this agent", required = true)
    private String settingsFile = "";

    @Parameter(names = "--help", help = true, description = "Show this help")
    private boolean help;

    private AgentMain() {}

    /** Runs an agent until it is asked to stop. */
    public static void main(String[] arguments) {
        AgentMain main = new AgentMain();
        JCommander commands = JCommander.newBuilder()
                .programName("laburnummoor-agent")
                .addObject(main)
                .build();
        try {
            commands.parse(arguments);
            if (main.help) {
                commands.usage();
                return;
            }
            main.run();
        } catch (ParameterException usage) {
            System.err.println(usage.getMessage());
            System.exit(EXIT_USAGE);
        } catch (LaburnummoorException failure) {
            System.err.println(failure.errorCode().code() + ": " + failure.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private void run() {
        AgentSettings settings = AgentSettings.read(Path.of(settingsFile));
        Logging.configure(settings.logLevel());
        List<Service> services = Guice.createInjector(new AgentModule(settings))
                .getInstance(Key.get(new TypeLiteral<List<Service>>() {}));
        StopSignal.runUntilStopped(services);
    }
}
