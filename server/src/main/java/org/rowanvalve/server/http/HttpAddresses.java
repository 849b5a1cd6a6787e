package org.rowanvalve.server.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.UriCompliance;
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

    /** {@code maxConnections}: how many connections this address may hold at once. */
    public int open(final String what, final InetSocketAddress at, final Handler handler, final int maxConnections)
            throws IOException {
        return open(what, at, handler, ConnectionOptions.atMost(maxConnections));
    }

    /** Opens an address with a handler of its own, whose connections are bounded by {@code options}. */
    public int open(
            final String what, final InetSocketAddress at, final Handler handler, final ConnectionOptions options)
            throws IOException {
        final HttpConfiguration conf = new HttpConfiguration();
        conf.setSendServerVersion(false);
        conf.setSendDateHeader(false);
        conf.setRequestHeaderSize(HeaderLimit.MOST);
        conf.setUriCompliance(PATHS);
        conf.setResponseHeaderSize(ANSWERS);
        final ServerConnector link =
                new ClientServerConnector(server, new HttpConnectionFactory(conf), new ClientConnections(options));
        link.setHost(at.getHostString());
        link.setPort(at.getPort());
        link.setAcceptQueueSize(512);
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
        final Handler handler = handlers.get(req.getConnectionMetaData().getConnector());
        return handler != null && handler.handle(req, res, done);
    }
}
