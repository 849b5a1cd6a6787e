package org.rowanvalve.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.server.process.Main;
import org.rowanvalve.server.process.Program;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Guards against an error of the HTTP server that promises that a request handed to the edge was not executed. */
class FailureAfterSubmissionTest {
    private final Server server = HttpAddresses.server("test");
    private final HttpAddresses addresses = new HttpAddresses(server);
    /** A loop that is not started keeps what is submitted. */
    private final ClientRequests requests = new ClientRequests(new CoreEventLoop(), null, 0);

    private final HttpClient client = HttpClient.newHttpClient();
    private int port;

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        server.setHandler(addresses);
        Program.startServer(server, "server");
        port = addresses.open(
                "address ", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new FailingHandler());
    }

    @AfterEach
    void end() throws Exception {
        server.stop();
    }

    /** Fails each request with the status that its path names, after submission if the path says so. */
    private final class FailingHandler extends Handler.Abstract {
        @Override
        public boolean handle(final Request request, final Response response, final Callback callback) {
            final String[] path = request.getHttpURI().getPath().split("/");
            if (path[1].equals("submitted")) {
                requests.submit(request, new ClientRequest("GET", "/", null, null, null), ignored -> {});
            }
            callback.failed(new HttpException.RuntimeException(Integer.parseInt(path[2]), "failed"));
            return true;
        }
    }

    private HttpResponse<String> get(final String path) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static String fate(final HttpResponse<String> response) {
        return response.headers().firstValue("Rv-Fate").orElse("");
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 500, 503})
    void failureOfASubmittedRequestPromisesNothing(final int status) throws Exception {
        final HttpResponse<String> response = get("/submitted/" + status);
        assertEquals(504, response.statusCode());
        assertEquals("unknown", fate(response));
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 408, 431})
    void failureBeforeSubmissionKeepsItsStatus(final int status) throws Exception {
        final HttpResponse<String> response = get("/unread/" + status);
        assertEquals(status, response.statusCode());
        assertEquals("refused", fate(response));
    }
}
