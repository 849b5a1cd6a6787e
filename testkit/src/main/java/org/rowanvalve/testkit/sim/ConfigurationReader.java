package org.rowanvalve.testkit.sim;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.log.RunLog;

/** Reads the whole configuration back from every shield that is up. */
final class ConfigurationReader {
    private static final long SPAN_MS = 1000;
    private final SimCluster cluster;

    ConfigurationReader(final SimCluster cluster) {
        this.cluster = cluster;
    }

    /** What each shield says stands. */
    void readAll() {
        cluster.nodes().values().stream()
                .filter(node -> node.role() == Role.SHIELD && node.alive())
                .forEach(node -> read(node, true));
    }

    /** {@code last}: at the end of a day, when all that was acknowledged is asked for. */
    void read(final SimNode node, final boolean last) {
        final long t = cluster.world().now();
        node.execute(() -> node.node().updateService().readAll(SPAN_MS, all -> {
            final Map<String, Object> items = new TreeMap<>();
            all.ifPresent(m -> m.forEach((kind, some) -> {
                if (kind != ItemKind.PURGE) {
                    some.forEach((name, item) -> items.put(
                            kind.code() + "/" + name,
                            item.version().number() + " "
                                    + Json.read(item.body(), Map.class).get("note")));
                }
            }));
            cluster.log()
                    .add(RunLog.row(
                            "log",
                            "read",
                            "t",
                            t,
                            "end",
                            cluster.world().now(),
                            "last",
                            last,
                            "node",
                            node.id().text(),
                            "whole",
                            all.isPresent(),
                            "items",
                            items));
        }));
    }
}
