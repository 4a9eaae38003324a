package io.laburnummoor.router.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.laburnummoor.router.version.ConfigOperations;

/** Shows what an apply of the same files would change. */
@Parameters(commandDescription = "Show what an apply of the same files would change")
final class DiffCommand implements Command {
    @ParametersDelegate
    private StoreParameters store = new StoreParameters();

    @Parameter(names = "--declarations", required = true, description = "TOML file of declarations, may be repeated")
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--merge", description = "keep declarations in force that no file names")
    private boolean merge;

    @Override
    public void run() {
        new ConfigOperations(System.out)
                .diff(store.publisher(), files.stream().map(Path::of).toList(), merge);
        store.http().stop();
    }
}
