package org.rowanvalve.server.origin;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.rowanvalve.server.http.HeaderLimit;

/**
 * The HTTP client for origins. It sends each request once and returns the response as it came: it follows no redirect,
 * answers no authentication challenge, asks for no content encoding and decodes none, and keeps no cookie.
 */
@SuppressWarnings("try") // Jetty's client declares that its close() may be interrupted.
public final class OriginHttpClient extends HttpClient {
    public OriginHttpClient(final ClientConnector connector) {
        super(new StrictHttpTransport(connector));
        setFollowRedirects(false);
        setUserAgentField(null);
        setHttpCookieStore(new HttpCookieStore.Empty());
        setMaxConnectionsPerDestination(512);
        setMaxRequestHeadersSize(HeaderLimit.MOST);
        setMaxResponseHeadersSize(HeaderLimit.MOST);
    }

    @Override
    protected void doStart() throws Exception {
        super.doStart();
        getContentDecoderFactories().clear();
        getProtocolHandlers().clear();
        getProtocolHandlers().put(new ContinueProtocolHandler());
        getProtocolHandlers().put(new ProcessingProtocolHandler());
        getProtocolHandlers().put(new EarlyHintsProtocolHandler());
    }
}
