package io.laburnummoor.bench.process;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.laburnummoor.wire.process.Logging;

/** Command line of the stand-ins, the demo caller and the bench. */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] arguments) throws Exception {
        Logging.configure("WARN");
        Map<String, BenchCommand> commands = new LinkedHashMap<>();
        commands.put("engine", new EngineCommand());
        commands.put("platform", new PlatformCommand());
        commands.put("complete", new CompleteCommand());
        commands.put("journal-load", new JournalLoadCommand());
        commands.put("scenario", new ScenarioCommand());
        JCommander.Builder builder = JCommander.newBuilder().programName("laburnummoor-bench");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(arguments);
        } catch (ParameterException usage) {
            System.err.println(usage.getMessage());
            System.exit(EXIT_USAGE);
        }
        BenchCommand command = commands.get(parser.getParsedCommand());
        if (command == null) {
            parser.usage();
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(command.run());
    }
}
