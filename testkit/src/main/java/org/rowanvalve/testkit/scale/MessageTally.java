package org.rowanvalve.testkit.scale;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.server.net.TrafficMeter;

/** Messages and bytes of one node, by type of message. */
final class MessageTally implements TrafficMeter {
    private final Map<String, Cell> cells = new ConcurrentHashMap<>();
    private volatile long wire;

    private static final class Cell {
        private final LongAdder frames = new LongAdder();
        private final LongAdder bytes = new LongAdder();
    }

    record Count(long frames, long bytes) {
        Count plus(final Count o) {
            return new Count(frames + o.frames, bytes + o.bytes);
        }

        Count less(final Count o) {
            return new Count(frames - o.frames, bytes - o.bytes);
        }
    }

    private void add(final String way, final Message msg, final int bytes) {
        final Cell c = cells.computeIfAbsent(way + msg.getClass().getSimpleName(), k -> new Cell());
        c.frames.increment();
        c.bytes.add(bytes);
    }

    @Override
    public void onSent(final Message msg, final int bytes) {
        add("out ", msg, bytes);
    }

    @Override
    public void onReceived(final Message msg, final int bytes) {
        wire = Thread.currentThread().getId();
        add("in ", msg, bytes);
    }

    /** The thread on which frames come in. */
    long wire() {
        return wire;
    }

    Map<String, Count> counts() {
        final Map<String, Count> map = new TreeMap<>();
        cells.forEach((k, c) -> map.put(k, new Count(c.frames.sum(), c.bytes.sum())));
        return map;
    }

    static Map<String, Count> less(final Map<String, Count> now, final Map<String, Count> then) {
        final Map<String, Count> map = new TreeMap<>();
        now.forEach((k, c) -> map.put(k, c.less(then.getOrDefault(k, new Count(0, 0)))));
        return map;
    }

    static Count sum(final Map<String, Count> all) {
        return all.values().stream().reduce(new Count(0, 0), Count::plus);
    }
}
