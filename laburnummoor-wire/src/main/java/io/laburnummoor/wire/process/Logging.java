package io.laburnummoor.wire.process;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;

/** Sets up logs as JSON lines on standard output; code logs through JBoss Logging. */
public final class Logging {
    private Logging() {}

    /** Replaces the appenders of all loggers by one that writes JSON lines from the given level on. */
    public static void configure(String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.toLevel(level, Level.INFO));
        context.getLogger("org.apache.thrift").setLevel(Level.OFF);
    }
}
