package rv.rig;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** The rig's command line. */
public final class Rig {
    private Rig() {
    }

    public static void main(final String[] args) throws Exception {
        if (args.length == 0) {
            System.err.println("usage: rwrig origin NAME SERVICE KIND IP PORT LOG NODE,NODE,...");
            System.exit(2);
        }
        if (args[0].equals("origin")) {
            origin(Arrays.copyOfRange(args, 1, args.length));
        }
    }

    private static void origin(final String[] a) throws Exception {
        final Originator o = new Originator(a[0], new Stock(a[1]), a[2], a[3], List.of(a[6].split(",")), new Log(Path.of(a[5])));
        o.start(Integer.parseInt(a[4]));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> o.leave(5)));
        System.out.println("origin " + o.name() + " on port " + o.port());
        Thread.currentThread().join();
    }
}
