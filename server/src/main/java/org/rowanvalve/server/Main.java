package org.rowanvalve.server;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Role;

/** {@code rwstore}, {@code rwshield} and {@code rwedge}: the first word says which. */
public final class Main {
    public static final String VERSION = "0.1.0";

    private static final java.util.logging.Logger JETTY = java.util.logging.Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    public static void main(final String[] args) throws InterruptedException, IOException {
        HangupSignal.install();
        if (args.length == 0
                || Arrays.stream(Role.values()).noneMatch(r -> r.word().equals(args[0]))) {
            System.err.println("usage: rwstore | rwshield | rwedge [options], see --help");
            System.exit(2);
        }
        quiet();
        final Role role = Arrays.stream(Role.values())
                .filter(r -> r.word().equals(args[0]))
                .findFirst()
                .orElseThrow();
        final String[] rest = Arrays.copyOfRange(args, 1, args.length);
        if (List.of(rest).contains("--version")) {
            System.out.println("rw" + role.word() + " " + VERSION);
            return;
        }
        if (List.of(rest).contains("--help")) {
            System.out.println("rw" + role.word() + " runs one " + role.word() + " of a rowanvalve network.\n");
            OptionFlags.parser().printHelpOn(System.out);
            return;
        }
        final List<Finding> faults = new ArrayList<>();
        final OptionSource source = new OptionSource(role, rest);
        final Options o = source.read(faults);
        if (!faults.isEmpty()) {
            faults.forEach(f -> System.err.println(Code.BAD_OPTIONS.tag() + " " + f));
            System.exit(2);
        }
        try {
            new Program(source, o).run();
        } catch (final DiskTrouble | IOException e) {
            System.err.println(Code.BAD_OPTIONS.tag() + " " + e.getMessage());
            System.exit(2);
        }
    }

    /** The HTTP library's own chatter is not the product's log. */
    public static void quiet() {
        LogLine.use();
        JETTY.setLevel(java.util.logging.Level.WARNING);
    }
}
