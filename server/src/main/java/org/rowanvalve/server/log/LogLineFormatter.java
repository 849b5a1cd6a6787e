package org.rowanvalve.server.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats each entry as one line: time, level, text. The JDK's formatter is not used, because it walks the stack for the
 * caller's name at each entry.
 */
public final class LogLineFormatter extends Formatter {
    public static void install() {
        final LogLineFormatter formatter = new LogLineFormatter();
        for (final Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(formatter);
        }
    }

    @Override
    public String format(final LogRecord entry) {
        final StringBuilder builder = new StringBuilder(120)
                .append(Instant.ofEpochMilli(entry.getMillis()))
                .append(' ')
                .append(entry.getLevel().getName())
                .append(' ')
                .append(formatMessage(entry))
                .append('\n');
        if (entry.getThrown() != null) {
            final StringWriter writer = new StringWriter();
            entry.getThrown().printStackTrace(new PrintWriter(writer));
            builder.append(writer);
        }
        return builder.toString();
    }
}
