package io.laburnummoor.core.version;

/**
 * One result of the check of a configuration.
 *
 * @param subject entry that it is about, for example {@code route chat}; never contains a key
 */
public record ConfigFinding(Severity severity, String subject, String message) {
    /** What a finding means for the configuration. */
    public enum Severity {
        /** Requests would fail or be attributed wrongly; the configuration should not be sent. */
        ERROR,
        /** An entry has no effect, or two values contradict each other. */
        WARNING,
        /** A difference from the configuration in force. */
        CHANGE
    }

    static ConfigFinding error(String subject, String message) {
        return new ConfigFinding(Severity.ERROR, subject, message);
    }

    static ConfigFinding warning(String subject, String message) {
        return new ConfigFinding(Severity.WARNING, subject, message);
    }

    static ConfigFinding change(String subject, String message) {
        return new ConfigFinding(Severity.CHANGE, subject, message);
    }

    @Override
    public String toString() {
        return severity + " " + subject + ": " + message;
    }
}
