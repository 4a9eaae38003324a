package io.laburnummoor.router.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.laburnummoor.router.version.ConfigOperations;

/** Lists all faults of files of declarations, without any connection. */
@Parameters(commandDescription = "List all faults of files of declarations, without any connection")
final class CheckCommand implements Command {
    @Parameter(names = "--declarations", required = true, description = "TOML file of declarations, may be repeated")
    private List<String> files = new ArrayList<>();

    @Override
    public void run() {
        new ConfigOperations(System.out).check(files.stream().map(Path::of).toList());
    }
}
