package org.rowanvalve.server.process;

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
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.server.http.ClientHandler;
import org.rowanvalve.server.http.ConnectionOptions;
import org.rowanvalve.server.http.ControlApi;
import org.rowanvalve.server.http.HttpAddresses;
import org.rowanvalve.server.log.DeferredLogManager;
import org.rowanvalve.server.log.EventLog;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.options.OptionSource;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.origin.DefaultOriginProtocol;
import org.rowanvalve.server.origin.OriginProtocol;
import org.rowanvalve.server.storage.SqliteStorage;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Assembles, starts and stops one process: the control and data planes, network, storage, log and HTTP interfaces. */
public final class Program {
    /** Time beyond the stop timeout that the shutdown hook waits for the node to complete its shutdown. */
    private static final long SHUTDOWN_MARGIN_MS = 2000;

    private final OptionSource source;
    private final Options options;
    private final Frontends frontends;
    private final StartupTimer startupTimer;

    /** The parts of the process that an HTTP handler may use. */
    public record ProcessContext(CoreEventLoop loop, Node node, Transport net, Options options) {}

    /** The HTTP interfaces of the process: the built-in ones or those of an adapter. */
    public interface Frontends {
        OriginProtocol originProtocol();

        /** The headers that encode the properties of a client's request; used by the in-process warm-up only. */
        Map<String, String> requestHeaders(ClientRequest request);

        /** The handler for clients, at the address of the option {@code door}. */
        Handler clientHandler(ProcessContext context);

        /** The handlers for the additional addresses of the option {@code faces}, by name. */
        Map<String, Handler> furtherHandlers(ProcessContext context);
    }

    private record DefaultFrontends() implements Frontends {
        @Override
        public OriginProtocol originProtocol() {
            return new DefaultOriginProtocol();
        }

        @Override
        public Map<String, String> requestHeaders(final ClientRequest request) {
            return request.key() == null ? Map.of() : Map.of("Rv-Key", request.key());
        }

        @Override
        public Handler clientHandler(final ProcessContext context) {
            return new ClientHandler(context.loop(), context.node().edge());
        }

        @Override
        public Map<String, Handler> furtherHandlers(final ProcessContext context) {
            return Map.of();
        }
    }

    public Program(final OptionSource source, final Options options) {
        this(source, options, new DefaultFrontends(), new StartupTimer());
    }

    /** Creates a process from {@code options} as read from {@code source}, which a reload reads again. */
    public Program(
            final OptionSource source,
            final Options options,
            final Frontends frontends,
            final StartupTimer startupTimer) {
        this.source = source;
        this.options = options;
        this.frontends = frontends;
        this.startupTimer = startupTimer;
    }

    /** Starts the process and returns once it accepts requests. Each phase depends on the ones before it. */
    public void run() throws StorageException, IOException, InterruptedException {
        final String incarnation = UUID.randomUUID().toString().substring(0, 8);
        final ProcessModule module = new ProcessModule(options, incarnation, frontends.originProtocol());
        final ProcessComponent components =
                DaggerProcessComponent.builder().processModule(module).build();
        final EventLog log = new EventLog(options.id().text(), options.jsonLog(), System.out);
        log.start(components.journal());
        openStorage(components);
        final OptionWatcher optionWatcher = new OptionWatcher(source, options, components.journal());
        optionWatcher.start();
        startTransport(components, optionWatcher);
        final Options votersKnown = findVoters(module, components, optionWatcher);
        final Node node = components.node();
        startupTimer.endPhase("node");
        components.net().setHandler(node::handle);
        if (options.role() == Role.SHIELD) {
            start(components.client());
        }
        startupTimer.endPhase("client");
        startNode(components, node);
        optionWatcher.listen(current -> components.loop().execute(() -> reloadSettings(current, node)));
        startupTimer.endPhase("begin");
        final int warmedRequests = new WarmupRequests(options, frontends).run(components);
        startupTimer.endPhase("warmup");
        // Once an address is open, a request may be on a connection, which only a graceful shutdown answers.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(components, log, optionWatcher), "stop"));
        openAddresses(new ProcessContext(components.loop(), node, components.net(), votersKnown));
        startupTimer.endPhase("http");
        journalReady(components, warmedRequests);
        if (options.role() == Role.EDGE) {
            start(components.client());
        }
    }

    private void openStorage(final ProcessComponent components) throws StorageException, InterruptedException {
        if (components.disk() instanceof SqliteStorage sqlite) {
            sqlite.open(reason -> components.journal().add(Event.of(EventCode.DISK_SLOW, "why", reason)));
        }
        startupTimer.endPhase("disk");
    }

    private void startTransport(final ProcessComponent components, final OptionWatcher optionWatcher)
            throws IOException {
        if (!options.voterShortage().isEmpty()) {
            components.journal().add(Event.of(EventCode.SHORTAGE, "why", options.voterShortage()));
        }
        components.loop().onShed(() -> components.journal().add(Event.of(EventCode.RING_FULL, "ring", "core")));
        try {
            components.net().bind(options.peerAddress(), VoterDiscovery::respondWithoutVoters);
        } catch (final IOException e) {
            throw new IOException("wire address " + options.peerAddress() + " cannot be used: " + e.getMessage(), e);
        }
        components.loop().start();
        startupTimer.endPhase("wire");
        optionWatcher.listen(current -> updateAddresses(current, components.net()));
    }

    /**
     * Returns the options with the voters that this node uses. If they are not known here, waits until another node answers.
     */
    private Options findVoters(
            final ProcessModule module, final ProcessComponent components, final OptionWatcher optionWatcher)
            throws StorageException, InterruptedException {
        final VoterDiscovery discovery = new VoterDiscovery(
                options,
                components.loop(),
                components.net(),
                components.disk(),
                () -> optionWatcher.current().seeds());
        final Options votersKnown = discovery.findVoters();
        module.setVoters(votersKnown, discovery.voters());
        votersKnown.knownAddresses().forEach(components.net()::learnAddress);
        startupTimer.endPhase("seats");
        return votersKnown;
    }

    private void journalReady(final ProcessComponent components, final int warmedRequests) {
        components
                .journal()
                .add(Event.of(
                        EventCode.READY,
                        "http",
                        options.controlAddress().toString(),
                        "ms",
                        startupTimer.totalMs(),
                        "parts",
                        startupTimer.toString(),
                        "rehearsed",
                        warmedRequests));
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

    private static void startNode(final ProcessComponent components, final Node node)
            throws StorageException, InterruptedException {
        final CountDownLatch started = new CountDownLatch(1);
        final List<StorageException> failures = new ArrayList<>();
        components.loop().execute(() -> {
            try {
                node.start();
            } catch (final StorageException e) {
                failures.add(e);
            }
            started.countDown();
        });
        started.await();
        if (!failures.isEmpty()) {
            throw failures.get(0);
        }
    }

    /** Opens the HTTP addresses, which share one server and its thread pool. */
    private void openAddresses(final ProcessContext context) throws IOException {
        final Server server = HttpAddresses.server("http");
        final HttpAddresses addresses = new HttpAddresses(server);
        server.setHandler(addresses);
        startServer(server, "http server");
        addresses.open(
                "http address ",
                options.controlAddress(),
                new ControlApi(context.loop(), context.node(), context.net()));
        if (options.clientAddress() != null) {
            addresses.open(
                    "door address ",
                    options.clientAddress(),
                    frontends.clientHandler(context),
                    new ConnectionOptions(
                            options.maxClientConnections(),
                            () -> context.node().configuration().limits().idleTimeoutMs(),
                            context.node().journal()::add));
        }
        final Map<String, Handler> further = frontends.furtherHandlers(context);
        for (final Map.Entry<String, InetSocketAddress> entry :
                options.furtherAddresses().entrySet()) {
            if (further.containsKey(entry.getKey())) {
                addresses.open("address " + entry.getKey() + " ", entry.getValue(), further.get(entry.getKey()));
            }
        }
    }

    /** Starts a server; the exception of a failed start begins with the description. */
    public static void startServer(final Server server, final String description) throws IOException {
        try {
            server.start();
        } catch (final Exception e) {
            throw new IOException(description + " cannot be used: " + e.getMessage(), e);
        }
    }

    private static void updateAddresses(final Options current, final TcpTransport net) {
        current.seeds().forEach(net::learnAddress);
        net.setFixedRoutes(current.fixedRoutes());
    }

    private void reloadSettings(final Options current, final Node node) {
        node.reload(current.reloadable(options.timings()));
        if (current != options) {
            node.updateSeeds(current.seeds());
        }
    }

    private void shutDown(final ProcessComponent components, final EventLog log, final OptionWatcher optionWatcher) {
        final CountDownLatch stopped = new CountDownLatch(1);
        final long timeoutMs = optionWatcher.current().stopTimeoutMs();
        components.loop().execute(() -> components.node().shutDown(timeoutMs, stopped::countDown));
        try {
            stopped.await(timeoutMs + SHUTDOWN_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.flush();
        DeferredLogManager.release();
    }
}
