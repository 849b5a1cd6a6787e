package org.rowanvalve.testkit.fleet;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.rowanvalve.testkit.scenario.ClientAnswer;
import org.rowanvalve.testkit.scenario.ClientCall;

/** Requests of clients as HTTP. */
public final class ClientHttp {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private ClientHttp() {}

    /** The request to an edge. */
    public static HttpRequest request(final ClientCall call, final FleetMachine edge) {
        final HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + edge.door() + call.path()))
                .timeout(TIMEOUT);
        if (call.key() != null) {
            request.header("Rv-Key", call.key())
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString("{\"for\":\"" + call.key() + "\"}"));
        }
        return request.build();
    }

    /** Null where no response came. */
    public static ClientAnswer answer(final HttpResponse<byte[]> response) {
        return response == null
                ? null
                : new ClientAnswer(
                        response.statusCode(),
                        header(response, "rv-fate", "none"),
                        header(response, "rv-stamp", null),
                        header(response, "rv-request", null),
                        header(response, "rv-digest", null),
                        response.body());
    }

    private static String header(final HttpResponse<byte[]> response, final String name, final String otherwise) {
        return response.headers().firstValue(name).orElse(otherwise);
    }
}
