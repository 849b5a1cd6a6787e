package org.rowanvalve.testkit.fleet;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;

/**
 * One request of a client to one edge, as HTTP and as a row of the log.
 *
 * @param key the key of a request that may run once, or null
 * @param attempt 1 for the first; a client may repeat a request
 * @param edge the name of the edge
 * @param startedAt milliseconds since the epoch
 * @param id unique among the requests of its client
 */
public record ClientCall(
        Deployment.TrafficClass traffic, String path, String key, int attempt, String edge, long startedAt, long id) {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String DONE = "done";

    /** The request to an edge whose clients' address is {@code address}. */
    public HttpRequest request(final String address) {
        final HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
        if (key != null) {
            request.header("Rv-Key", key)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString("{\"for\":\"" + key + "\"}"));
        }
        return request.build();
    }

    /** What the edge says has become of a request; "none" where no answer came. */
    public static String fate(final HttpResponse<byte[]> response) {
        return response == null ? "none" : header(response, "rv-fate", "none");
    }

    public static boolean isDone(final HttpResponse<byte[]> response) {
        return fate(response).equals(DONE);
    }

    /** The row of the log for the answer, or for a request without one where {@code response} is null. */
    public Map<String, Object> row(final HttpResponse<byte[]> response) {
        final Map<?, ?> content = isDone(response) ? content(response) : Map.of();
        return RunLog.row(
                "log",
                "req",
                "t",
                startedAt,
                "end",
                System.currentTimeMillis(),
                "id",
                id,
                "node",
                edge,
                "route",
                traffic.route(),
                "mode",
                traffic.mode(),
                "life",
                traffic.lifetimeMs(),
                "path",
                path,
                "key",
                key,
                "turn",
                attempt,
                "status",
                response == null ? 0 : response.statusCode(),
                "fate",
                fate(response),
                "stamp",
                header(response, "rv-stamp", null),
                "request",
                header(response, "rv-request", null),
                "whole",
                response == null ? null : Hash.sha256Hex(response.body()).equals(header(response, "rv-digest", "")),
                "why",
                response == null || isDone(response) ? null : text(response),
                "said",
                content.get("path"),
                "saidKey",
                content.get("key"),
                "rev",
                content.get("rev"));
    }

    private static String header(final HttpResponse<byte[]> response, final String name, final String otherwise) {
        return response == null ? null : response.headers().firstValue(name).orElse(otherwise);
    }

    private static String text(final HttpResponse<byte[]> response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private static Map<?, ?> content(final HttpResponse<byte[]> response) {
        try {
            return Json.read(text(response), Map.class);
        } catch (final IllegalStateException e) {
            return Map.of("path", "unreadable");
        }
    }
}
