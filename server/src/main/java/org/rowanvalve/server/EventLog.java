package org.rowanvalve.server;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Journal;
import org.rowanvalve.control.Json;

/** The log duty: events leave by a ring; as JSON lines on standard output or through the logger. */
public final class EventLog {
    private static final Logger LOG = Logger.getLogger("rowanvalve");
    private final ArrayBlockingQueue<Line> ring = new ArrayBlockingQueue<>(16_384);
    private final AtomicLong shed = new AtomicLong();
    private final PrintStream out;
    private final String node;
    private final boolean json;
    private final Thread thread = new Thread(this::run, "log");

    private record Line(long wall, Journal.Entry entry) {}

    public EventLog(final String node, final boolean json, final PrintStream out) {
        this.node = node;
        this.json = json;
        this.out = out;
    }

    public void start(final Journal journal) {
        thread.setDaemon(true);
        thread.start();
        journal.fold(e -> {
            if (!ring.offer(new Line(System.currentTimeMillis(), e))) {
                shed.incrementAndGet();
            }
        });
    }

    private void run() {
        try {
            while (true) {
                final Line next = ring.take();
                Guard.run(() -> write(next));
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public void flush() {
        for (Line l = ring.poll(); l != null; l = ring.poll()) {
            write(l);
        }
        out.flush();
    }

    private void write(final Line l) {
        final Code code = l.entry().event().code();
        if (json) {
            final Map<String, Object> map = new LinkedHashMap<>();
            map.put("t", l.wall());
            map.put("node", node);
            map.put("code", code.tag());
            map.put("name", code.name());
            l.entry().event().facts().forEach((k, v) -> map.put(map.containsKey(k) ? "peer" : k, v));
            final byte[] data = (Json.text(map) + "\n").getBytes(StandardCharsets.UTF_8);
            out.write(data, 0, data.length);
            if (ring.isEmpty()) {
                out.flush();
            }
        } else if (code == Code.LEARNED || code == Code.ORIGIN_SEND || code == Code.ACCEPTED) {
            LOG.debug(l.entry().event().line());
        } else {
            LOG.info(l.entry().event().line());
        }
    }

    public long shed() {
        return shed.get();
    }
}
