package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.fleet.FleetMachine;

/**
 * What a node says of itself.
 *
 * @param incarnation differs for each start of its process
 * @param confirmed whether its view is confirmed by a majority
 * @param voterState of a node that may vote, empty for others
 * @param versions by item, as "route/NAME"
 */
record NodeState(String incarnation, boolean confirmed, String voterState, Map<String, Long> versions) {
    private static final Duration TIMEOUT = Duration.ofMillis(1500);

    /** Empty where the node does not answer. */
    static Optional<NodeState> of(final HttpClient http, final FleetMachine machine) throws InterruptedException {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + machine.http() + "/v1/state"))
                .timeout(TIMEOUT)
                .build();
        try {
            final HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? Optional.of(parse(response.body())) : Optional.empty();
        } catch (final IOException e) {
            return Optional.empty();
        }
    }

    static NodeState parse(final String text) {
        final Map<?, ?> report = Json.read(text, Map.class);
        final Map<String, Long> versions = new TreeMap<>();
        ((Map<?, ?>) report.get("items"))
                .forEach((item, version) -> versions.put(String.valueOf(item), ((Number) version).longValue()));
        final Object voter = report.get("elector");
        return new NodeState(
                String.valueOf(report.get("boot")),
                ((Number) report.get("frameAgeMs")).longValue() >= 0,
                voter == null ? "" : String.valueOf(voter),
                versions);
    }

    long version(final String item) {
        return versions.getOrDefault(item, 0L);
    }

    /** Of a node that may vote: it does, or could; not one that still rebuilds its state. */
    boolean isVoterSettled() {
        return voterState.isEmpty() || voterState.equals("voting") || voterState.equals("standby");
    }
}
