package org.rowanvalve.testkit.sim;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.Log;

/** The last lines of a run's log: what it cost, and what each living node holds. */
final class RunSummary {
    private static final String EDGE = "ed1";
    private final SimCluster cluster;

    RunSummary(final SimCluster cluster) {
        this.cluster = cluster;
    }

    void costs(final long seconds, final long messages, final long bytes) {
        final SimNode edge = cluster.node(EDGE);
        cluster.log()
                .add(Log.row(
                        "log",
                        "cost",
                        "t",
                        cluster.world().now(),
                        "seconds",
                        seconds,
                        "messages",
                        messages,
                        "bytes",
                        bytes,
                        "items",
                        edge.alive() ? edge.node().held().all().size() : 0,
                        "syncs",
                        cluster.node(cluster.place().disks().get(0)).disk().syncs(),
                        "kinds",
                        new TreeMap<>(cluster.net().kinds())));
    }

    void held() {
        cluster.nodes().values().stream().filter(SimNode::alive).forEach(this::held);
    }

    private void held(final SimNode n) {
        final Map<String, Object> items = new TreeMap<>();
        n.node()
                .held()
                .all()
                .forEach(c -> items.put(c.item().id().text(), c.item().ver().n()));
        cluster.log()
                .add(Log.row(
                        "log",
                        "end",
                        "t",
                        cluster.world().now(),
                        "node",
                        n.id().text(),
                        "items",
                        items,
                        "fresh",
                        n.node().sync().fresh()));
    }
}
