package io.laburnummoor.router.process;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.wire.process.Logging;

/** Command line that runs a router and offers the operators' commands: {@code laburnummoor-router <command> …}. */
public final class RouterMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_CONFLICT = 3;
    private static final int EXIT_UNREADABLE_FORMAT = 4;
    private static final int EXIT_UNAVAILABLE = 5;
    private static final int EXIT_OUTCOME_UNKNOWN = 6;

    private RouterMain() {}

    /** Runs the command that the first argument names. */
    public static void main(String[] arguments) {
        Logging.configure("WARN");
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("serve", new ServeCommand());
        commands.put("check", new CheckCommand());
        commands.put("diff", new DiffCommand());
        commands.put("apply", new ApplyCommand());
        commands.put("status", new StatusCommand());
        commands.put("rollout", new RolloutCommand());
        JCommander.Builder builder = JCommander.newBuilder().programName("laburnummoor-router");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(arguments);
            Command command = commands.get(parser.getParsedCommand());
            if (command == null) {
                parser.usage();
                System.exit(EXIT_USAGE);
                return;
            }
            command.run();
        } catch (ParameterException usage) {
            System.err.println(usage.getMessage());
            System.exit(EXIT_USAGE);
        } catch (LaburnummoorException failure) {
            System.err.println(failure.errorCode().code() + ": " + failure.getMessage());
            System.exit(exitStatus(failure.errorCode()));
        }
    }

    private static int exitStatus(ErrorCode code) {
        return switch (code) {
            case CONFLICT -> EXIT_CONFLICT;
            case UNREADABLE_FORMAT -> EXIT_UNREADABLE_FORMAT;
            case STORE_UNAVAILABLE -> EXIT_UNAVAILABLE;
            case OUTCOME_UNKNOWN -> EXIT_OUTCOME_UNKNOWN;
            default -> EXIT_FAILURE;
        };
    }
}
