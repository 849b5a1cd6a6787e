package org.rowanvalve.testkit.sim;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Role;
import org.rowanvalve.testkit.Log;

/** Compares all shields' rights on true time and by each shield's own clock: no two may hold one shard, frozen or not. */
final class RightsWatch {
    private static final long EVERY_MS = 20;
    private final SimCluster cluster;
    private long looks;

    RightsWatch(final SimCluster cluster) {
        this.cluster = cluster;
    }

    void start() {
        final Map<Integer, String> holders = new TreeMap<>();
        cluster.nodes().values().stream()
                .filter(n -> n.alive() && n.role() == Role.SHIELD && n.node() != null)
                .forEach(n -> look(n, holders));
        cluster.world().in(EVERY_MS, this::start);
    }

    private void look(final SimNode n, final Map<Integer, String> holders) {
        n.node().holder().leases().keySet().stream()
                .filter(n.node().holder()::may)
                .forEach(shard -> {
                    looks++;
                    final String other = holders.put(shard, n.id().text());
                    if (other != null) {
                        cluster.log()
                                .add(Log.row(
                                        "log",
                                        "rights",
                                        "t",
                                        cluster.world().now(),
                                        "shard",
                                        shard,
                                        "first",
                                        other,
                                        "second",
                                        n.id().text()));
                    }
                });
    }

    /** The last line: how often was looked. */
    void end() {
        cluster.log().add(Log.row("log", "rights", "t", cluster.world().now(), "looks", looks));
    }
}
