package org.rowanvalve.testkit.sim;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Json;
import org.rowanvalve.testkit.Log;

/** Reads the whole configuration back from every shield that is up. */
final class ConfigReader {
    private static final long SPAN_MS = 1000;
    private final SimCluster cluster;

    ConfigReader(final SimCluster cluster) {
        this.cluster = cluster;
    }

    /** What each shield says stands. */
    void readAll() {
        cluster.nodes().values().stream()
                .filter(n -> n.role() == Role.SHIELD && n.alive())
                .forEach(n -> read(n, true));
    }

    /** {@code last}: at the end of a day, when all that was acknowledged is asked for. */
    void read(final SimNode n, final boolean last) {
        final long t = cluster.world().now();
        n.post(() -> n.node().orders().whole(SPAN_MS, all -> {
            final Map<String, Object> items = new TreeMap<>();
            all.ifPresent(m -> m.forEach((kind, some) -> {
                if (kind != Kind.PURGE) {
                    some.forEach((name, item) -> items.put(
                            kind.code() + "/" + name,
                            item.ver().n() + " "
                                    + Json.read(item.body(), Map.class).get("note")));
                }
            }));
            cluster.log()
                    .add(Log.row(
                            "log",
                            "read",
                            "t",
                            t,
                            "end",
                            cluster.world().now(),
                            "last",
                            last,
                            "node",
                            n.id().text(),
                            "whole",
                            all.isPresent(),
                            "items",
                            items));
        }));
    }
}
