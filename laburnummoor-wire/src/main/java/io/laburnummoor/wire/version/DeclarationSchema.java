package io.laburnummoor.wire.version;

import java.util.List;

import io.laburnummoor.wire.process.Settings;
import org.jspecify.annotations.Nullable;

/** What differs between the versions of the declarations' format. */
interface DeclarationSchema {
    /** All versions that this process reads. */
    List<DeclarationSchema> ALL = List.of(new FlatSchema(), new GroupedSchema());

    /** Returns the number of the version. */
    int version();

    /** Returns the table that holds the limits of an organisation. */
    Settings limits(Settings organisation);

    /** Returns the table that holds the evaluation bounds of a rollout. */
    Settings bounds(Settings rollout);

    /** Returns the schema with a number, or null if this process does not read it. */
    static @Nullable DeclarationSchema find(int version) {
        return ALL.stream()
                .filter(each -> each.version() == version)
                .findFirst()
                .orElse(null);
    }

    /** Version 1: limits and bounds stand beside the other fields. */
    final class FlatSchema implements DeclarationSchema {
        @Override
        public int version() {
            return 1;
        }

        @Override
        public Settings limits(Settings organisation) {
            return organisation;
        }

        @Override
        public Settings bounds(Settings rollout) {
            return rollout;
        }
    }

    /** Version 2: limits and bounds each have a table. */
    final class GroupedSchema implements DeclarationSchema {
        @Override
        public int version() {
            return 2;
        }

        @Override
        public Settings limits(Settings organisation) {
            return organisation.table("limits");
        }

        @Override
        public Settings bounds(Settings rollout) {
            return rollout.table("bounds");
        }
    }
}
