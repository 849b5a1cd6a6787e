package org.rowanvalve.server.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.server.thread.ThreadGuard;

/**
 * Writes events to the log in a separate thread. Events are queued in a ring buffer and written as JSON lines to standard
 * output or as text through the logger.
 */
public final class EventLog {
    private static final int RING_CAPACITY = 16_384;
    private static final Logger LOG = Logger.getLogger("rowanvalve");
    /** Events logged at debug level in a text log, because each write or request causes one. */
    private static final Set<EventCode> FREQUENT = EnumSet.of(
            EventCode.LEARNED,
            EventCode.ORIGIN_SEND,
            EventCode.ACCEPTED,
            EventCode.SHIELD_BEHIND,
            EventCode.REQUEST_ENDED,
            EventCode.INTENT_WRITTEN,
            EventCode.ORIGIN_ENDED,
            EventCode.KEYED_ENDED,
            EventCode.CLIENT_LEFT,
            EventCode.WORK_ENDED,
            EventCode.CANCELLED,
            EventCode.CONNECTION_ENDED);

    private final ArrayBlockingQueue<Line> ring = new ArrayBlockingQueue<>(RING_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final String node;
    private final boolean json;
    private final Thread thread = new Thread(this::run, "log");

    private record Line(long wallMillis, EventJournal.Entry entry) {}

    public EventLog(final String node, final boolean json, final PrintStream out) {
        this.node = node;
        this.json = json;
        this.out = out;
    }

    /** Starts logging the events of this journal. */
    public void start(final EventJournal journal) {
        thread.setDaemon(true);
        thread.start();
        journal.subscribe(entry -> {
            if (!ring.offer(new Line(System.currentTimeMillis(), entry))) {
                dropped.incrementAndGet();
            }
        });
    }

    private void run() {
        try {
            while (true) {
                final Line next = ring.take();
                ThreadGuard.run(() -> write(next));
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued events in the calling thread. */
    public void flush() {
        for (Line line = ring.poll(); line != null; line = ring.poll()) {
            write(line);
        }
        out.flush();
    }

    private void write(final Line line) {
        final EventCode code = line.entry().event().code();
        if (json) {
            final Map<String, Object> map = new LinkedHashMap<>();
            map.put("t", line.wallMillis());
            map.put("node", node);
            map.put("code", code.id());
            map.put("name", code.name());
            line.entry().event().facts().forEach((k, v) -> map.put(map.containsKey(k) ? "peer" : k, v));
            final byte[] data = (Json.write(map) + "\n").getBytes(StandardCharsets.UTF_8);
            out.write(data, 0, data.length);
            if (ring.isEmpty()) {
                out.flush();
            }
        } else if (FREQUENT.contains(code)) {
            LOG.debug(line.entry().event().format());
        } else {
            LOG.info(line.entry().event().format());
        }
    }

    /** Returns how many events were dropped because the ring buffer was full. */
    public long droppedEvents() {
        return dropped.get();
    }
}
