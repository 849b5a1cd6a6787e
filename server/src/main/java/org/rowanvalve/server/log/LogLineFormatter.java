package org.rowanvalve.server.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * One line for each entry: time, level, text. The formatter of the library walks the stack of each caller for its name.
 */
public final class LogLineFormatter extends Formatter {
    public static void use() {
        final LogLineFormatter line = new LogLineFormatter();
        for (final Handler h : Logger.getLogger("").getHandlers()) {
            h.setFormatter(line);
        }
    }

    @Override
    public String format(final LogRecord r) {
        final StringBuilder builder = new StringBuilder(120)
                .append(Instant.ofEpochMilli(r.getMillis()))
                .append(' ')
                .append(r.getLevel().getName())
                .append(' ')
                .append(formatMessage(r))
                .append('\n');
        if (r.getThrown() != null) {
            final StringWriter writer = new StringWriter();
            r.getThrown().printStackTrace(new PrintWriter(writer));
            builder.append(writer);
        }
        return builder.toString();
    }
}
