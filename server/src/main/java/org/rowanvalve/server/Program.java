package org.rowanvalve.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.Role;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.data.Node;

/** One process: the planes over their real seams, with what it shows to the outside. */
public final class Program {
    private final OptionSource source;
    private final Options options;
    private final Faces faces;
    private final StartupTimer stages;

    /** What a handler may use of the process. */
    public record Ends(CoreLoop loop, Node node, Net net, Options options) {}

    /** How the outside is spoken to; the product's own way, or an adapter's. */
    public interface Faces {
        Dialect dialect();

        /** The headers by which a caller's request states itself; for rehearsals in this process only. */
        Map<String, String> stated(ClientRequest ask);

        /** For callers, at the option {@code door}. */
        Handler door(Ends ends);

        /** For the further addresses of the option {@code faces}, by name. */
        Map<String, Handler> more(Ends ends);
    }

    private record Own() implements Faces {
        @Override
        public Dialect dialect() {
            return new OwnDialect();
        }

        @Override
        public Map<String, String> stated(final ClientRequest ask) {
            return ask.key() == null ? Map.of() : Map.of("Rv-Key", ask.key());
        }

        @Override
        public Handler door(final Ends e) {
            return new ClientHandler(e.loop(), e.node().edge());
        }

        @Override
        public Map<String, Handler> more(final Ends e) {
            return Map.of();
        }
    }

    public Program(final OptionSource source, final Options options) {
        this(source, options, new Own(), new StartupTimer());
    }

    /** {@code options} were just read from {@code source}, which is read again when they may have changed. */
    public Program(final OptionSource source, final Options options, final Faces faces, final StartupTimer stages) {
        this.source = source;
        this.options = options;
        this.faces = faces;
        this.stages = stages;
    }

    public void run() throws DiskTrouble, IOException, InterruptedException {
        final String boot = UUID.randomUUID().toString().substring(0, 8);
        final ProcessModule parts = new ProcessModule(options, boot, faces.dialect());
        final ProcessComponent all =
                DaggerProcessComponent.builder().processModule(parts).build();
        final EventLog log = new EventLog(options.id().text(), options.json(), System.out);
        log.start(all.journal());
        if (all.disk() instanceof SqlDisk d) {
            d.open(why -> all.journal().add(Event.of(Code.DISK_SLOW, "why", why)));
        }
        stages.end("disk");
        final SettingsWatcher settings = new SettingsWatcher(source, options, all.journal());
        settings.start();
        if (!options.shortage().isEmpty()) {
            all.journal().add(Event.of(Code.SHORTAGE, "why", options.shortage()));
        }
        all.loop().onShed(() -> all.journal().add(Event.of(Code.RING_FULL, "ring", "core")));
        try {
            all.net().bind(options.wire(), VoterDiscovery::blank);
        } catch (final IOException e) {
            throw new IOException("wire address " + options.wire() + " cannot be used: " + e.getMessage(), e);
        }
        all.loop().start();
        stages.end("wire");
        settings.listen(now -> reach(now, all.net()));
        final VoterDiscovery discovery = new VoterDiscovery(
                options,
                all.loop(),
                all.net(),
                all.disk(),
                () -> settings.current().seeds());
        final Options seated = discovery.seat();
        parts.seated(seated, discovery.voters());
        seated.known().forEach(all.net()::learn);
        stages.end("seats");
        final Node node = all.node();
        stages.end("node");
        all.net().serve(node::take);
        final Ends ends = new Ends(all.loop(), node, all.net(), seated);
        if (options.role() == Role.SHIELD) {
            start(all.client());
        }
        stages.end("client");
        begin(all, node);
        settings.listen(now -> all.loop().post(() -> reload(now, node)));
        stages.end("begin");
        final int warm = new Warmup(options, faces).run(all);
        stages.end("warmup");
        show(ends);
        stages.end("http");
        all.journal()
                .add(Event.of(
                        Code.READY,
                        "http",
                        options.http().toString(),
                        "ms",
                        stages.whole(),
                        "parts",
                        stages.toString(),
                        "rehearsed",
                        warm));
        if (options.role() == Role.EDGE) {
            start(all.client());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(all, log, settings), "stop"));
    }

    private static void start(final org.eclipse.jetty.client.HttpClient http) throws IOException {
        try {
            http.start();
        } catch (final Exception e) {
            throw new IOException("the HTTP client cannot be started: " + e.getMessage(), e);
        }
        http.getProtocolHandlers().clear();
        http.getContentDecoderFactories().clear();
    }

    private static void begin(final ProcessComponent all, final Node node) throws DiskTrouble, InterruptedException {
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
    }

    /** All addresses share one server, with one pool of threads. */
    private void show(final Ends ends) throws IOException {
        final Server server = Addresses.server("http");
        final Addresses all = new Addresses(server);
        server.setHandler(all);
        open(server, "http server");
        all.open("http address ", options.http(), new Api(ends.loop(), ends.node(), ends.net()));
        if (options.door() != null) {
            all.open("door address ", options.door(), faces.door(ends), options.doorConnections());
        }
        final Map<String, Handler> more = faces.more(ends);
        for (final Map.Entry<String, InetSocketAddress> e : options.faces().entrySet()) {
            if (more.containsKey(e.getKey())) {
                all.open("address " + e.getKey() + " ", e.getValue(), more.get(e.getKey()));
            }
        }
    }

    static void open(final Server s, final String what) throws IOException {
        try {
            s.start();
        } catch (final Exception e) {
            throw new IOException(what + " cannot be used: " + e.getMessage(), e);
        }
    }

    private static void reach(final Options now, final TcpNet net) {
        now.seeds().forEach(net::learn);
        net.reach(now.reach());
    }

    private void reload(final Options now, final Node node) {
        node.reload(now.live(options.timing()));
        if (now != options) {
            node.seeds(now.seeds());
        }
    }

    private void leave(final ProcessComponent all, final EventLog log, final SettingsWatcher settings) {
        final CountDownLatch gone = new CountDownLatch(1);
        final long most = settings.current().stopMs();
        all.loop().post(() -> all.node().leave(most, gone::countDown));
        try {
            gone.await(most + 2000, TimeUnit.MILLISECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.flush();
        LogHold.release();
    }
}
