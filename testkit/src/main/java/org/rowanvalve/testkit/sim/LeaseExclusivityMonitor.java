package org.rowanvalve.testkit.sim;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.testkit.log.RunLog;

/**
 * Compares all shields' leases on true time and by each shield's own clock: no two may hold one shard, paused or not.
 */
final class LeaseExclusivityMonitor {
    private static final long EVERY_MS = 20;
    private final SimCluster cluster;
    private long looks;

    LeaseExclusivityMonitor(final SimCluster cluster) {
        this.cluster = cluster;
    }

    void start() {
        final Map<Integer, String> holders = new TreeMap<>();
        cluster.nodes().values().stream()
                .filter(node -> node.alive() && node.role() == Role.SHIELD && node.node() != null)
                .forEach(node -> look(node, holders));
        cluster.world().in(EVERY_MS, this::start);
    }

    private void look(final SimNode node, final Map<Integer, String> holders) {
        node.node().leaseHolder().leases().keySet().stream()
                .filter(node.node().leaseHolder()::mayFill)
                .forEach(shard -> {
                    looks++;
                    final String other = holders.put(shard, node.id().text());
                    if (other != null) {
                        cluster.log()
                                .add(RunLog.row(
                                        "log",
                                        "rights",
                                        "t",
                                        cluster.world().now(),
                                        "shard",
                                        shard,
                                        "first",
                                        other,
                                        "second",
                                        node.id().text()));
                    }
                });
    }

    /** The last line: how often was looked. */
    void end() {
        cluster.log().add(RunLog.row("log", "rights", "t", cluster.world().now(), "looks", looks));
    }
}
