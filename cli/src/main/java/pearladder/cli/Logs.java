package pearladder.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Sets up logging to standard error: JSON with a field for each figure, or text for people. */
final class Logs {
    /** Values of {@code --log}; AUTO is text on a terminal, else JSON. */
    enum Form {
        AUTO,
        JSON,
        TEXT
    }

    private Logs() {}

    static void setUp(Form form) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        boolean json = form == Form.JSON || form == Form.AUTO && System.console() == null;
        Encoder<ILoggingEvent> encoder = json ? json(context) : text(context);
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(appender);
        context.getLogger("pearladder").setLevel(Level.INFO);
        String traceName = System.getProperty("pearladder.trace");
        if (traceName != null) {
            context.getLogger("pearladder.trace." + traceName).setLevel(Level.TRACE);
        }
    }

    /** Logs errors only: otherwise each of a simulation's hundred routers would log its changes of mode. */
    static void quiet() {
        ((LoggerContext) LoggerFactory.getILoggerFactory())
                .getLogger("pearladder")
                .setLevel(Level.ERROR);
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithArguments(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg %kvp%n");
        encoder.start();
        return encoder;
    }
}
