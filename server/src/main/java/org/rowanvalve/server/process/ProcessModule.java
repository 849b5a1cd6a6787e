package org.rowanvalve.server.process;

import dagger.Module;
import dagger.Provides;
import java.util.Random;
import javax.inject.Provider;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.origin.HttpOriginTransport;
import org.rowanvalve.server.origin.OriginHttpClient;
import org.rowanvalve.server.origin.OriginProtocol;
import org.rowanvalve.server.origin.PlainTextConnector;
import org.rowanvalve.server.storage.SqliteStorage;
import org.rowanvalve.server.storage.VolatileStorage;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Dagger's bindings for one process. */
@Module
public final class ProcessModule {
    private static final int JOURNAL_CAPACITY = 2000;
    private static final int ORIGIN_CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_ORIGIN_THREADS = 16;
    private static final int MIN_ORIGIN_THREADS = 2;

    private final String incarnation;
    private final OriginProtocol originProtocol;
    private Options options;
    private ChosenItem votingSet;

    public ProcessModule(final Options options, final String incarnation, final OriginProtocol originProtocol) {
        this.options = options;
        this.incarnation = incarnation;
        this.originProtocol = originProtocol;
    }

    /** Sets the voters; called before the node is created. {@code currentVotingSet} is the current voting set, or null if unknown. */
    public void setVoters(final Options current, final ChosenItem currentVotingSet) {
        options = current;
        votingSet = currentVotingSet;
    }

    @Provides
    @Singleton
    Options options() {
        return options;
    }

    @Provides
    @Singleton
    CoreEventLoop loop() {
        return new CoreEventLoop();
    }

    @Provides
    @Singleton
    EventJournal journal(final CoreEventLoop loop) {
        return new EventJournal(loop, JOURNAL_CAPACITY);
    }

    @Provides
    @Singleton
    TcpTransport net(final CoreEventLoop loop, final EventJournal journal) {
        return new TcpTransport(options.id(), loop, journal, options.knownAddresses(), options.fixedRoutes());
    }

    @Provides
    @Singleton
    StableStorage disk(final CoreEventLoop loop) {
        return options.dataDirectory() != null
                ? new SqliteStorage(loop, options.dataDirectory())
                : new VolatileStorage(loop);
    }

    @Provides
    @Singleton
    HttpClient client() {
        final QueuedThreadPool threads = new QueuedThreadPool(MAX_ORIGIN_THREADS, MIN_ORIGIN_THREADS);
        threads.setName("origins");
        final PlainTextConnector connector = new PlainTextConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setConnectTimeout(java.time.Duration.ofMillis(ORIGIN_CONNECT_TIMEOUT_MILLIS));
        final HttpClient http = new OriginHttpClient(connector);
        http.setExecutor(threads);
        return http;
    }

    @Provides
    @Singleton
    OriginTransport port(final CoreEventLoop loop, final Provider<HttpClient> http) {
        return options.role() == Role.STORE
                ? (origin, request, permission, callback) -> {
                    loop.execute(() -> callback.accept(OriginTransport.OriginResponse.failure(
                            OriginTransport.ExchangeResult.NOT_SENT, "stores send nothing to origins")));
                    return () -> {};
                }
                : new HttpOriginTransport(loop, http.get(), originProtocol);
    }

    @Provides
    @Singleton
    Node node(
            final CoreEventLoop loop,
            final TcpTransport net,
            final StableStorage storage,
            final OriginTransport originTransport,
            final EventJournal journal) {
        final Member member = new Member(
                options.id(),
                options.role(),
                options.location(),
                options.peerAddress().getHostString(),
                options.peerAddress().getPort(),
                incarnation,
                NodeStatus.PARTIAL,
                Main.VERSION);
        final NodeSettings settings = NodeSettings.builderFor(member)
                .seeds(
                        options.votersAreLearned()
                                ? options.quorum().voters()
                                : java.util.List.copyOf(options.seeds().keySet()))
                .quorum(options.quorum())
                .timings(options.timings())
                .shards(options.shards())
                .cacheBytes(options.cacheBytes())
                .firstBoot(options.firstBoot())
                .retryLimits(options.retryRatio(), options.retrySlack())
                .foundingVoters(options.founderAddresses())
                .drainNoticeMs(options.drainNoticeMs())
                .regions(options.regions())
                .toleratedLosses(options.toleratedLosses())
                .keyWindowMs(options.keyWindowMs())
                .updateLimits(options.updateLimits())
                .votingSet(votingSet)
                .build();
        return new Node(
                settings,
                new Node.Runtime(
                        loop,
                        net,
                        storage,
                        originTransport,
                        new Random(),
                        System::currentTimeMillis,
                        net::learnAddress),
                journal);
    }
}
