package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.rowanvalve.testkit.fleet.ControlClient;
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
    /** Empty where the node does not answer. */
    static Optional<NodeState> of(final ControlClient client, final FleetMachine machine) throws InterruptedException {
        try {
            return Optional.of(of(client.state(machine)));
        } catch (final IOException e) {
            return Optional.empty();
        }
    }

    static NodeState of(final Map<?, ?> report) {
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

    /** Those items of which it shows less than {@code newest} says. */
    Set<String> behind(final Map<String, Long> newest) {
        return newest.entrySet().stream()
                .filter(entry -> version(entry.getKey()) < entry.getValue())
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Of a node that may vote: it does, or could; not one that still rebuilds its state. */
    boolean isVoterSettled() {
        return voterState.isEmpty() || voterState.equals("voting") || voterState.equals("standby");
    }
}
