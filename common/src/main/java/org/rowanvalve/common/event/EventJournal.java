package org.rowanvalve.common.event;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.rowanvalve.common.runtime.EventLoop;

/** Events of one process in memory: views subscribe and fold, the last ones can be read back. */
public final class EventJournal {
    private final EventLoop loop;
    private final int capacity;
    private final ArrayDeque<Entry> recentEntries = new ArrayDeque<>();
    private final List<Consumer<Entry>> listeners = new CopyOnWriteArrayList<>();
    private long sequence;

    /** One event with its sequence number and its time on this node's clock. */
    public record Entry(long sequence, long atMs, Event event) {}

    public EventJournal(final EventLoop loop, final int capacity) {
        this.loop = loop;
        this.capacity = capacity;
    }

    /**
     * Numbers the event, gives it the time of the loop's clock, and passes it to all listeners in the calling thread.
     */
    public synchronized void add(final Event event) {
        final Entry entry = new Entry(++sequence, loop.now(), event);
        if (recentEntries.size() == capacity) {
            recentEntries.removeFirst();
        }
        recentEntries.addLast(entry);
        listeners.forEach(v -> v.accept(entry));
    }

    /** {@code view} gets each later event, in the thread that adds it; it must not block. */
    public void subscribe(final Consumer<Entry> view) {
        listeners.add(view);
    }

    /** The last events, the oldest first; as many as the journal was created for at most. */
    public synchronized List<Entry> recent() {
        return List.copyOf(recentEntries);
    }
}
