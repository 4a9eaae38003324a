package io.laburnummoor.wire.process;

import java.util.ArrayList;
import java.util.List;

import org.jboss.logging.MDC;

/**
 * Fields that are added to every log line of the current thread until they are closed.
 *
 * <pre>{@code
 * try (LogFields fields = LogFields.of("organisation", id.organisation()).and("upstream", upstream.id())) {
 *   LOGGER.warn("attempt failed");
 * }
 * }</pre>
 */
public final class LogFields implements AutoCloseable {
    private final List<String> names = new ArrayList<>();

    private LogFields() {}

    /** Sets a first field. */
    public static LogFields of(String name, Object value) {
        return new LogFields().and(name, value);
    }

    /** Sets a further field. */
    public LogFields and(String name, Object value) {
        MDC.put(name, String.valueOf(value));
        names.add(name);
        return this;
    }

    @Override
    public void close() {
        names.forEach(MDC::remove);
    }
}
