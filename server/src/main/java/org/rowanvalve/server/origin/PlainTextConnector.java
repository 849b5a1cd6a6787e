package org.rowanvalve.server.origin;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Origins are reached by plain HTTP, so no TLS classes are loaded. */
public final class PlainTextConnector extends ClientConnector {
    private static final class Unused extends SslContextFactory.Client {
        @Override
        protected void doStart() {}

        @Override
        protected void doStop() {}
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new Unused();
    }
}
