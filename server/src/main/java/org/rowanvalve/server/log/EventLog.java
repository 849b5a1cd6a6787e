package org.rowanvalve.server.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.server.thread.ThreadGuard;

/**
 * Writes events to the log in a separate thread. Events are queued in a ring buffer and written as JSON lines to standard
 * output or as text through the logger. The text log has no lines for requests that went well, see {@link RequestHistory}.
 */
public final class EventLog {
    private static final int RING_CAPACITY = 16_384;
    private static final Logger LOG = Logger.getLogger("rowanvalve");
    /** Events that are not in a text log, because each write or connection causes one. */
    private static final Set<EventCode> JSON_ONLY =
            EnumSet.of(EventCode.LEARNED, EventCode.ACCEPTED, EventCode.CONNECTION_ENDED);

    static final int REQUEST_LINES_PER_SECOND = 20;
    static final int REQUEST_BURST_LINES = 400;
    /** Requests that are broken off may be many, for example hedges, and must not displace the lines on failures. */
    private static final int BREAK_LINES_PER_SECOND = 5;

    private static final int BREAK_BURST_LINES = 100;

    private final ArrayBlockingQueue<LogEntry> ring = new ArrayBlockingQueue<>(RING_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final String node;
    private final boolean json;
    private final Thread thread = new Thread(this::run, "log");

    private final RequestHistory requestHistory = new RequestHistory();
    private final LineLimit requestLines = new LineLimit(REQUEST_LINES_PER_SECOND, REQUEST_BURST_LINES);
    private final LineLimit breakLines = new LineLimit(BREAK_LINES_PER_SECOND, BREAK_BURST_LINES);

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
            if (!ring.offer(new LogEntry(System.currentTimeMillis(), entry.event()))) {
                dropped.incrementAndGet();
            }
        });
    }

    private void run() {
        try {
            while (true) {
                final LogEntry next = ring.take();
                ThreadGuard.run(() -> write(next));
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued events in the calling thread. */
    public void flush() {
        for (LogEntry next = ring.poll(); next != null; next = ring.poll()) {
            write(next);
        }
        out.flush();
    }

    private void write(final LogEntry entry) {
        if (json) {
            writeJson(entry);
        } else if (RequestHistory.CODES.contains(entry.event().code())) {
            requestHistory.add(entry).forEach(due -> writeLimited(due, requestLines));
        } else if (entry.event().code() == EventCode.WORK_BROKEN_OFF) {
            writeLimited(entry, breakLines);
        } else if (!JSON_ONLY.contains(entry.event().code())) {
            writeText(entry);
        }
    }

    private void writeJson(final LogEntry entry) {
        final EventCode code = entry.event().code();
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("t", entry.wallMillis());
        map.put("node", node);
        map.put("code", code.id());
        map.put("name", code.name());
        entry.event().facts().forEach((k, v) -> map.put(map.containsKey(k) ? "peer" : k, v));
        final byte[] data = (Json.write(map) + "\n").getBytes(StandardCharsets.UTF_8);
        out.write(data, 0, data.length);
        if (ring.isEmpty()) {
            out.flush();
        }
    }

    private static void writeLimited(final LogEntry entry, final LineLimit limit) {
        final long now = System.currentTimeMillis();
        if (!limit.tryTake(now)) {
            return;
        }
        final long leftOut = limit.takeLeftOut();
        if (leftOut > 0) {
            writeText(new LogEntry(now, Event.of(EventCode.LINES_LEFT_OUT, "lines", leftOut)));
        }
        writeText(entry);
    }

    private static void writeText(final LogEntry entry) {
        final LogRecord line = new LogRecord(Level.INFO, entry.event().format());
        line.setInstant(Instant.ofEpochMilli(entry.wallMillis()));
        LOG.log(line);
    }

    /** Returns how many events were dropped because the ring buffer was full. */
    public long droppedEvents() {
        return dropped.get();
    }
}
