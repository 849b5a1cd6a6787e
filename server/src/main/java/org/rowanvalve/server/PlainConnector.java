package org.rowanvalve.server;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Origins are spoken to in plain HTTP, so nothing of TLS is loaded. */
final class PlainConnector extends ClientConnector {
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
