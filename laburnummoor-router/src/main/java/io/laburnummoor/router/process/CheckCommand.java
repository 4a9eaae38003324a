package io.laburnummoor.router.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.router.version.ConfigOperations;

/** Validates declaration files without connecting to any service and lists all faults. */
@Parameters(commandDescription = "Validate declaration files without any connection and list all faults")
final class CheckCommand implements Command {
    @Parameter(
            names = "--declarations",
            required = true,
            description = "TOML file with declarations; may be given several times")
    private List<String> files = new ArrayList<>();

    @Override
    public void run() {
        new ConfigOperations(System.out).check(files.stream().map(Path::of).toList());
    }
}
