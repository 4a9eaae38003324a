package io.laburnummoor.core.process;

import org.jspecify.annotations.Nullable;

/**
 * The unplanned end of a thread or of another part that the process needs.
 *
 * @param cause what it ended with, or null if it returned or the cause is not known
 * @param restarts number of its failures so far after which it was started again
 * @param ranMillis time since it was last started; 0 if it is not known
 */
public record ThreadFailure(String thread, @Nullable Throwable cause, int restarts, long ranMillis) {
    /** Returns the place where the cause was raised, or null if it is not known. */
    public @Nullable String place() {
        Throwable raised = cause;
        if (raised == null || raised.getStackTrace().length == 0) {
            return null;
        }
        return raised.getStackTrace()[0].toString();
    }

    /** Returns the text of the cause, or null if there is none. */
    public @Nullable String error() {
        Throwable raised = cause;
        return raised == null ? null : raised.toString();
    }
}
