package org.rowanvalve.testkit.scale;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;

/** How long purges and configurations take from their declaration until each node, and all nodes, have them. */
final class PropagationTracker {
    private final Map<String, Wave> open = new ConcurrentHashMap<>();
    private final Histogram each = new ConcurrentHistogram(60_000_000, 3);
    private final Histogram all = new ConcurrentHistogram(60_000_000, 3);

    private record Wave(long from, Set<NodeId> left) {}

    /** Of purges the body, since one name may be purged again; else the name. */
    static String key(final Item item) {
        return item.id().kind() == ItemKind.PURGE ? item.body() : item.id().text();
    }

    void begin(final String key, final Collection<NodeId> nodes) {
        final Set<NodeId> left = ConcurrentHashMap.newKeySet();
        left.addAll(nodes);
        open.put(key, new Wave(System.nanoTime(), left));
    }

    void hit(final Item item, final NodeId at) {
        final Wave wave = open.get(key(item));
        if (wave != null && wave.left().remove(at)) {
            final long us = (System.nanoTime() - wave.from()) / 1000;
            each.recordValue(Math.min(us, 60_000_000));
            end(key(item), wave, us);
        }
    }

    private void end(final String key, final Wave wave, final long us) {
        if (wave.left().isEmpty() && open.remove(key, wave)) {
            all.recordValue(Math.min(us, 60_000_000));
        }
    }

    /** A node that ends is not waited for. */
    void gone(final NodeId node) {
        open.forEach((k, wave) -> {
            if (wave.left().remove(node)) {
                end(k, wave, (System.nanoTime() - wave.from()) / 1000);
            }
        });
    }

    /** The statement was refused, so nothing is to arrive. */
    void refused(final String key) {
        open.remove(key);
    }

    int open() {
        return open.size();
    }

    void clear() {
        open.clear();
        each.reset();
        all.reset();
    }

    long done() {
        return all.getTotalCount();
    }

    double each(final double percent) {
        return each.getValueAtPercentile(percent) / 1000.0;
    }

    double all(final double percent) {
        return all.getValueAtPercentile(percent) / 1000.0;
    }
}
