package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import org.rowanvalve.control.json.Json;

/** Calls of operators to a process's control address. Safe for many threads. */
public final class ControlClient {
    private static final int OK = 200;
    private final Duration timeout;
    private final HttpClient http;

    /** {@code timeout}: for a whole call, {@code connectTimeout} included. */
    public ControlClient(final Duration connectTimeout, final Duration timeout) {
        this.timeout = timeout;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(connectTimeout)
                .build();
    }

    private HttpRequest.Builder request(final FleetMachine machine, final String path) {
        return HttpRequest.newBuilder(URI.create("http://" + machine.http() + "/v1/" + path))
                .timeout(timeout);
    }

    private HttpResponse<String> send(final HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Any call; {@code body} may be empty. */
    public HttpResponse<String> call(
            final FleetMachine machine, final String method, final String path, final String body)
            throws IOException, InterruptedException {
        return send(request(machine, path).method(method, HttpRequest.BodyPublishers.ofString(body)));
    }

    public HttpResponse<String> get(final FleetMachine machine, final String path)
            throws IOException, InterruptedException {
        return send(request(machine, path));
    }

    /**
     * Declares an item, or deletes it where {@code body} is null.
     *
     * @param version the version that is replaced
     * @param writeId the same for each repeat of a call
     */
    public HttpResponse<String> write(
            final FleetMachine machine, final String path, final String body, final long version, final String writeId)
            throws IOException, InterruptedException {
        final HttpRequest.Builder request =
                request(machine, path).header("If-Match", "\"" + version + "\"").header("Rv-Write-Id", writeId);
        return send(body == null ? request.DELETE() : request.PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** What the process says of itself. */
    public Map<?, ?> state(final FleetMachine machine) throws IOException, InterruptedException {
        final HttpResponse<String> response = get(machine, "state");
        if (response.statusCode() != OK) {
            throw new IOException(machine.name() + " answers " + response.statusCode());
        }
        return Json.read(response.body(), Map.class);
    }
}
