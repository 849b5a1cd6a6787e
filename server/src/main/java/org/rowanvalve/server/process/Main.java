package org.rowanvalve.server.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.server.log.LogLineFormatter;
import org.rowanvalve.server.options.OptionFlags;
import org.rowanvalve.server.options.OptionSource;
import org.rowanvalve.server.options.Options;

/** The programs {@code rwstore}, {@code rwshield} and {@code rwedge}: the first argument is the role. */
public final class Main {
    public static final String VERSION = "0.1.0";

    private static final java.util.logging.Logger JETTY = java.util.logging.Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    public static void main(final String[] args) throws InterruptedException, IOException {
        HangupSignal.install();
        if (args.length == 0
                || Arrays.stream(Role.values()).noneMatch(r -> r.label().equals(args[0]))) {
            System.err.println("usage: rwstore | rwshield | rwedge [options], see --help");
            System.exit(2);
        }
        configureLogging();
        final Role role = Arrays.stream(Role.values())
                .filter(r -> r.label().equals(args[0]))
                .findFirst()
                .orElseThrow();
        final String[] roleArguments = Arrays.copyOfRange(args, 1, args.length);
        if (List.of(roleArguments).contains("--version")) {
            System.out.println("rw" + role.label() + " " + VERSION);
            return;
        }
        if (List.of(roleArguments).contains("--help")) {
            System.out.println("rw" + role.label() + " runs one " + role.label() + " of a rowanvalve network.\n");
            OptionFlags.parser().printHelpOn(System.out);
            return;
        }
        final List<ValidationError> faults = new ArrayList<>();
        final OptionSource source = new OptionSource(role, roleArguments);
        final Options options = source.read(faults);
        if (!faults.isEmpty()) {
            faults.forEach(error -> System.err.println(EventCode.BAD_OPTIONS.id() + " " + error));
            System.exit(2);
        }
        try {
            new Program(source, options).run();
        } catch (final StorageException | IOException e) {
            System.err.println(EventCode.BAD_OPTIONS.id() + " " + e.getMessage());
            System.exit(2);
        }
    }

    /** Sets the log format and keeps the HTTP library's messages below warnings out of the log. */
    public static void configureLogging() {
        LogLineFormatter.install();
        JETTY.setLevel(java.util.logging.Level.WARNING);
    }
}
