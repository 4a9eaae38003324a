package io.laburnummoor.router.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.laburnummoor.router.version.ConfigOperations;

/** Shows the changes that {@code apply} would make with the same files. */
@Parameters(commandDescription = "Show what apply would change with the same files")
final class DiffCommand implements Command {
    @ParametersDelegate
    private StoreParameters store = new StoreParameters();

    @Parameter(
            names = "--declarations",
            required = true,
            description = "TOML file with declarations; may be given several times")
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--merge", description = "keep declarations that are in force but not in the files")
    private boolean merge;

    @Override
    public void run() {
        new ConfigOperations(System.out)
                .diff(store.publisher(), files.stream().map(Path::of).toList(), merge);
        store.http().stop();
    }
}
