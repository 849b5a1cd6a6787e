package org.rowanvalve.server.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Several addresses of one HTTP server, each with a handler of its own. */
public final class HttpAddresses extends Handler.Abstract {
    /** Paths are never decoded here, so what another reader could take in two ways is passed on as it came. */
    private static final UriCompliance PATHS = UriCompliance.DEFAULT.with(
            "paths",
            UriCompliance.Violation.AMBIGUOUS_PATH_SEPARATOR,
            UriCompliance.Violation.AMBIGUOUS_PATH_SEGMENT,
            UriCompliance.Violation.AMBIGUOUS_EMPTY_SEGMENT,
            UriCompliance.Violation.AMBIGUOUS_PATH_ENCODING,
            UriCompliance.Violation.AMBIGUOUS_PATH_PARAMETER);

    private static final int ANSWERS = 64 << 10;
    private final Server server;
    private final Map<Connector, Handler> handlers = new ConcurrentHashMap<>();
    private final Map<Connector, ConnectionLimit> limits = new ConcurrentHashMap<>();

    public HttpAddresses(final Server server) {
        this.server = server;
    }

    /** A server with one bounded thread pool for all its addresses. */
    public static Server server(final String name) {
        final QueuedThreadPool pool = new QueuedThreadPool(24, 3);
        pool.setName(name);
        final Server server = new Server(pool);
        server.setErrorHandler(new JsonErrorHandler());
        server.setStopTimeout(0);
        return server;
    }

    /** Opens an address with a handler of its own and returns its port; fails where the address cannot be used. */
    public int open(final String what, final InetSocketAddress at, final Handler handler) throws IOException {
        return open(what, at, handler, Integer.MAX_VALUE);
    }

    /** {@code most}: how many connections this address may hold at once. */
    public int open(final String what, final InetSocketAddress at, final Handler handler, final int most)
            throws IOException {
        final HttpConfiguration conf = new HttpConfiguration();
        conf.setSendServerVersion(false);
        conf.setSendDateHeader(false);
        conf.setRequestHeaderSize(HeaderLimit.MOST);
        conf.setUriCompliance(PATHS);
        conf.setResponseHeaderSize(ANSWERS);
        final ServerConnector link = new ClientServerConnector(server, new HttpConnectionFactory(conf));
        link.setHost(at.getHostString());
        link.setPort(at.getPort());
        link.setAcceptQueueSize(512);
        final ConnectionLimit limit = new ConnectionLimit(most);
        limits.put(link, limit);
        link.addBean(limit);
        try {
            handler.setServer(server);
            handler.start();
            handlers.put(link, handler);
            server.addConnector(link);
            link.start();
        } catch (final Exception e) {
            throw new IOException(what + at + " cannot be used: " + e.getMessage(), e);
        }
        return link.getLocalPort();
    }

    @Override
    public boolean handle(final Request req, final Response res, final Callback done) throws Exception {
        final ConnectionMetaData meta = req.getConnectionMetaData();
        final ConnectionLimit limit = limits.get(meta.getConnector());
        if (limit != null) {
            limit.busy(meta.getConnection());
            Request.addCompletionListener(req, failure -> limit.rests(meta.getConnection()));
        }
        final Handler handler = handlers.get(meta.getConnector());
        return handler != null && handler.handle(req, res, done);
    }
}
