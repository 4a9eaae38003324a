package io.laburnummoor.router.version;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.process.ConfigPublisher;
import io.laburnummoor.core.process.ConfigPublisher.Base;
import io.laburnummoor.core.process.ConfigPublisher.Outcome;
import io.laburnummoor.core.process.ProcessStatus;
import io.laburnummoor.core.version.ConfigDelta;
import io.laburnummoor.core.version.ConfigEntry;
import io.laburnummoor.core.version.ConfigState;
import io.laburnummoor.wire.version.DeclarationReader;

/** Operator commands on the configuration: checks files, prints differences and applies declarations. */
public final class ConfigOperations {
    /** Every release reads this schema version, so running processes need not be asked whether they support it. */
    private static final int OLDEST_SCHEMA_VERSION = 1;

    private final PrintStream out;

    /** Creates operations that print their results to a stream. */
    public ConfigOperations(PrintStream out) {
        this.out = out;
    }

    /**
     * Checks files without connecting to any process.
     *
     * @throws LaburnummoorException with code {@code invalid_settings} whose message lists all faults of all files
     */
    public Collection<ConfigEntry> check(List<Path> files) {
        DeclarationReader reader = read(files);
        reader.throwIfFaulty(List.of());
        out.println(reader.entries().size() + " declarations in " + files.size() + " files are valid");
        return reader.entries();
    }

    /** Prints the differences between the configuration in force and the files. */
    public void diff(ConfigPublisher publisher, List<Path> files, boolean merge) {
        ConfigState inForce = publisher.readBase().state();
        Collection<ConfigEntry> target = target(inForce, read(files), merge);
        out.println("revision " + inForce.revision() + " is in force");
        printDiff(inForce, target);
    }

    /**
     * Applies the declarations of files.
     *
     * @param request files and options of the operation
     * @param processes queries the live processes; used only if the change adds a schema version that is not in force
     * @throws LaburnummoorException with code {@code conflict} if another operator has changed the configuration,
     *     after printing the differences to the configuration that is then in force
     */
    public void apply(ConfigPublisher publisher, Request request, Supplier<List<ProcessStatus>> processes) {
        DeclarationReader reader = read(request.files());
        reader.throwIfFaulty(
                request.merge() ? publisher.readBase().state().entries().values() : List.of());
        Base base = publisher.readBase();
        ConfigState inForce = base.state();
        Collection<ConfigEntry> target = target(inForce, reader, request.merge());
        if (inForce.operationId().equals(request.operationId())) {
            out.println("revision " + inForce.revision() + " was applied by this operation before");
            return;
        }
        if (request.expectedRevision() >= 0 && request.expectedRevision() != inForce.revision()) {
            throw conflict(inForce, target, "revision " + request.expectedRevision() + " was expected");
        }
        requireReadable(inForce, target, processes);
        Outcome outcome = publisher.publish(base, target, request.operationId());
        switch (outcome.result()) {
            case ACCEPTED -> out.println(
                    "revision " + outcome.delta().revision() + " applied by operation " + request.operationId());
            case UNCHANGED -> out.println("revision " + inForce.revision() + " is in force, nothing to change");
            case CONFLICT -> throw conflict(
                    publisher.readBase().state(), target, "another operator changed the configuration meanwhile");
            default -> throw new IllegalStateException("unknown result " + outcome.result());
        }
    }

    private DeclarationReader read(List<Path> files) {
        DeclarationReader reader = new DeclarationReader();
        files.forEach(reader::read);
        reader.warnings().forEach(warning -> out.println("warning: " + warning));
        return reader;
    }

    private static Collection<ConfigEntry> target(ConfigState inForce, DeclarationReader reader, boolean merge) {
        Map<String, ConfigEntry> target = new TreeMap<>(merge ? inForce.entries() : Map.of());
        reader.entries().forEach(entry -> target.remove(entry.key()));
        reader.throwIfFaulty(target.values());
        reader.entries().forEach(entry -> target.put(entry.key(), entry));
        return target.values();
    }

    private static void requireReadable(
            ConfigState inForce, Collection<ConfigEntry> target, Supplier<List<ProcessStatus>> processes) {
        Set<Integer> added = schemaVersions(target);
        added.removeAll(schemaVersions(inForce.entries().values()));
        added.remove(OLDEST_SCHEMA_VERSION);
        if (added.isEmpty()) {
            return;
        }
        List<ProcessStatus> incompatible = ProcessStatus.unableToRead(processes.get(), added);
        if (!incompatible.isEmpty()) {
            throw new LaburnummoorException(
                    ErrorCode.UNREADABLE_FORMAT,
                    "schema version " + added + " cannot be read by: "
                            + incompatible.stream()
                                    .map(each -> each.peer().name() + (each.answered() ? "" : " (did not answer)"))
                                    .collect(Collectors.joining(", ")));
        }
    }

    private LaburnummoorException conflict(ConfigState inForce, Collection<ConfigEntry> target, String reason) {
        out.println("revision " + inForce.revision() + " is in force");
        printDiff(inForce, target);
        return new LaburnummoorException(
                ErrorCode.CONFLICT, reason + "; nothing was changed, revision " + inForce.revision() + " is in force");
    }

    private void printDiff(ConfigState inForce, Collection<ConfigEntry> target) {
        ConfigDelta delta = inForce.deltaTo(target, "diff");
        if (delta.isEmpty()) {
            out.println("no differences");
        }
        List<String> lines = new ArrayList<>();
        for (ConfigEntry entry : delta.changed()) {
            ConfigEntry before = inForce.entries().get(entry.key());
            if (before != null) {
                lines.add("- " + before.key() + " " + before.text());
            }
            lines.add("+ " + entry.key() + " " + entry.text());
        }
        for (String key : delta.removedKeys()) {
            lines.add("- " + key);
        }
        lines.forEach(out::println);
    }

    private static Set<Integer> schemaVersions(Collection<ConfigEntry> entries) {
        return entries.stream().map(ConfigEntry::schemaVersion).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * An operator's request to apply declarations.
     *
     * @param files declaration files
     * @param merge whether declarations in force that are not in the files are kept instead of removed
     * @param expectedRevision revision that the operator expects to be in force, -1 for any
     * @param operationId id of the operation; a retry with the same id has no further effect
     */
    public record Request(List<Path> files, boolean merge, long expectedRevision, String operationId) {}
}
