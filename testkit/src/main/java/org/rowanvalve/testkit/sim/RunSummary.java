package org.rowanvalve.testkit.sim;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.log.RunLog;

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
                .add(RunLog.row(
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
                        edge.alive() ? edge.node().items().all().size() : 0,
                        "syncs",
                        cluster.node(cluster.place().disks().get(0)).disk().syncs(),
                        "kinds",
                        new TreeMap<>(cluster.net().kinds())));
    }

    void held() {
        cluster.nodes().values().stream().filter(SimNode::alive).forEach(this::held);
    }

    private void held(final SimNode node) {
        final Map<String, Object> items = new TreeMap<>();
        node.node()
                .items()
                .all()
                .forEach(chosen -> items.put(
                        chosen.item().id().text(), chosen.item().version().number()));
        cluster.log()
                .add(RunLog.row(
                        "log",
                        "end",
                        "t",
                        cluster.world().now(),
                        "node",
                        node.id().text(),
                        "items",
                        items,
                        "fresh",
                        node.node().viewSynchronizer().isFresh()));
    }
}
