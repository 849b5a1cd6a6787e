package rv.prog;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import rv.base.Code;
import rv.base.DiskTrouble;
import rv.base.Event;
import rv.base.Finding;
import rv.base.Role;
import rv.data.Node;

/** {@code rwstore}, {@code rwshield} and {@code rwedge}: the first word says which. */
public final class Main {
    public static final String VERSION = "0.1.0";

    private static final java.util.logging.Logger JETTY = java.util.logging.Logger.getLogger("org.eclipse.jetty");

    private Main() {
    }

    public static void main(final String[] args) throws Exception {
        if (args.length == 0 || Arrays.stream(Role.values()).noneMatch(r -> r.word().equals(args[0]))) {
            System.err.println("usage: rwstore | rwshield | rwedge [options], see --help");
            System.exit(2);
        }
        quiet();
        final Role role = Arrays.stream(Role.values()).filter(r -> r.word().equals(args[0])).findFirst().orElseThrow();
        final String[] rest = Arrays.copyOfRange(args, 1, args.length);
        if (List.of(rest).contains("--version")) {
            System.out.println("rw" + role.word() + " " + VERSION);
            return;
        }
        if (List.of(rest).contains("--help")) {
            System.out.println("rw" + role.word() + " runs one " + role.word() + " of a rowanvalve network.\n");
            Options.parser().printHelpOn(System.out);
            return;
        }
        final List<Finding> faults = new ArrayList<>();
        final Options o = Options.read(role, rest, faults);
        if (!faults.isEmpty()) {
            faults.forEach(f -> System.err.println(Code.BAD_OPTIONS.tag() + " " + f));
            System.exit(2);
        }
        try {
            run(o);
        } catch (final DiskTrouble | IOException e) {
            System.err.println(Code.BAD_OPTIONS.tag() + " " + e.getMessage());
            System.exit(2);
        }
    }

    /** The HTTP library's own chatter is not the product's log. */
    public static void quiet() {
        JETTY.setLevel(java.util.logging.Level.WARNING);
    }

    private static void run(final Options o) throws Exception {
        final String boot = UUID.randomUUID().toString().substring(0, 8);
        final Whole all = DaggerWhole.builder().parts(new Parts(o, boot)).build();
        if (all.disk() instanceof SqlDisk d) {
            d.open();
        }
        final EventLog log = new EventLog(o.id().text(), o.json(), System.out);
        log.start(all.journal());
        all.loop().onShed(() -> all.journal().add(Event.of(Code.RING_FULL, "ring", "core")));
        final Node node = all.node();
        try {
            all.net().bind(o.wire(), node::take);
        } catch (final IOException e) {
            throw new IOException("wire address " + o.wire() + " cannot be used: " + e.getMessage(), e);
        }
        final Server api = server(o.http().getHostString(), o.http().getPort(), "http", new Api(all.loop(), node, all.net()));
        final Server door = o.door() == null ? null : server(o.door().getHostString(), o.door().getPort(), "door", new Door(all.loop(), node.edge()));
        all.client().start();
        all.client().getProtocolHandlers().clear();
        all.client().getContentDecoderFactories().clear();
        all.loop().start();
        final CountDownLatch begun = new CountDownLatch(1);
        final List<DiskTrouble> bad = new ArrayList<>();
        all.loop().post(() -> {
            try {
                node.start();
            } catch (final DiskTrouble e) {
                bad.add(e);
            }
            begun.countDown();
        });
        begun.await();
        if (!bad.isEmpty()) {
            throw bad.get(0);
        }
        open(api, "http address " + o.http());
        if (door != null) {
            open(door, "door address " + o.door());
        }
        all.journal().add(Event.of(Code.READY, "http", o.http().toString()));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(o, all, log), "stop"));
    }

    private static void open(final Server s, final String what) throws IOException {
        try {
            s.start();
        } catch (final Exception e) {
            throw new IOException(what + " cannot be used: " + e.getMessage(), e);
        }
    }

    private static void leave(final Options o, final Whole all, final EventLog log) {
        final CountDownLatch gone = new CountDownLatch(1);
        all.loop().post(() -> all.node().leave(o.stopMs(), gone::countDown));
        try {
            gone.await(o.stopMs() + 2000, TimeUnit.MILLISECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.flush();
        LogHold.release();
    }

    static Server server(final String host, final int port, final String name, final Handler handler) {
        final QueuedThreadPool pool = new QueuedThreadPool(24, 3);
        pool.setName(name);
        final Server server = new Server(pool);
        final HttpConfiguration conf = new HttpConfiguration();
        conf.setSendServerVersion(false);
        conf.setSendDateHeader(false);
        final ServerConnector link = new ServerConnector(server, 1, 1, new HttpConnectionFactory(conf));
        link.setHost(host);
        link.setPort(port);
        link.setAcceptQueueSize(512);
        server.addConnector(link);
        server.setHandler(handler);
        server.setErrorHandler(new Faults());
        server.setStopTimeout(0);
        return server;
    }
}
