package org.rowanvalve.server;

import dagger.Module;
import dagger.Provides;
import java.util.Random;
import javax.inject.Provider;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Role;
import org.rowanvalve.data.Node;
import org.rowanvalve.data.Port;
import org.rowanvalve.data.Setup;

/** How one process is put together. */
@Module
public final class ProcessModule {
    private final String boot;
    private final Dialect dialect;
    private Options options;
    private Msg.Chosen voters;

    public ProcessModule(final Options options, final String boot, final Dialect dialect) {
        this.options = options;
        this.boot = boot;
        this.dialect = dialect;
    }

    /** Before the node is put together. {@code present}: the chosen set that votes now, or null where none is known. */
    public void seated(final Options o, final Msg.Chosen present) {
        options = o;
        voters = present;
    }

    @Provides
    @Singleton
    Options options() {
        return options;
    }

    @Provides
    @Singleton
    CoreLoop loop() {
        return new CoreLoop();
    }

    @Provides
    @Singleton
    Journal journal(final CoreLoop loop) {
        return new Journal(loop, 2000);
    }

    @Provides
    @Singleton
    TcpNet net(final CoreLoop loop, final Journal journal) {
        return new TcpNet(options.id(), loop, journal, options.known(), options.reach());
    }

    @Provides
    @Singleton
    Disk disk(final CoreLoop loop) {
        return options.data() != null ? new SqlDisk(loop, options.data()) : new NoDisk(loop);
    }

    @Provides
    @Singleton
    HttpClient client() {
        final QueuedThreadPool pool = new QueuedThreadPool(16, 2);
        pool.setName("origins");
        final PlainConnector link = new PlainConnector();
        link.setSelectors(1);
        link.setExecutor(pool);
        link.setConnectTimeout(java.time.Duration.ofMillis(500));
        final HttpClient http = new OriginHttpClient(link);
        http.setExecutor(pool);
        return http;
    }

    @Provides
    @Singleton
    Port port(final CoreLoop loop, final Provider<HttpClient> http) {
        return options.role() == Role.STORE
                ? (to, what, gate, then) -> {
                    loop.post(() -> then.accept(Port.Got.none(Port.End.NOT_SENT, "stores send nothing to origins")));
                    return () -> {};
                }
                : new OriginPort(loop, http.get(), dialect);
    }

    @Provides
    @Singleton
    Node node(final CoreLoop loop, final TcpNet net, final Disk disk, final Port port, final Journal journal) {
        final Member self = new Member(
                options.id(),
                options.role(),
                options.cell(),
                options.wire().getHostString(),
                options.wire().getPort(),
                boot,
                Condition.PARTIAL,
                Main.VERSION);
        final Setup setup = Setup.of(self)
                .seeds(
                        options.learns()
                                ? options.quorum().voters()
                                : java.util.List.copyOf(options.seeds().keySet()))
                .quorum(options.quorum())
                .timing(options.timing())
                .shards(options.shards())
                .cacheBytes(options.cacheBytes())
                .first(options.first())
                .extra(options.extraRatio(), options.extraSlack())
                .seats(options.seats())
                .notice(options.noticeMs())
                .places(options.places())
                .wantedLosses(options.wantedLosses())
                .keyWindow(options.keyWindowMs())
                .voters(voters)
                .build();
        return new Node(
                setup,
                new Node.Seams(loop, net, disk, port, new Random(), System::currentTimeMillis, net::learn),
                journal);
    }
}
