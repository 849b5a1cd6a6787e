package org.rowanvalve.common.event;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.rowanvalve.common.runtime.EventLoop;

/** The in-memory journal of a process's events. Listeners receive each event; the most recent events can be read. */
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
     * Assigns the next sequence number and the time of the loop's clock to the event, and passes it to all listeners in
     * the calling thread.
     */
    public synchronized void add(final Event event) {
        final Entry entry = new Entry(++sequence, loop.now(), event);
        if (recentEntries.size() == capacity) {
            recentEntries.removeFirst();
        }
        recentEntries.addLast(entry);
        listeners.forEach(listener -> listener.accept(entry));
    }

    /** {@code listener} gets each later event in the thread that adds the event, and must not block. */
    public void subscribe(final Consumer<Entry> listener) {
        listeners.add(listener);
    }

    /** Returns the most recent events up to the journal's capacity, oldest first. */
    public synchronized List<Entry> recent() {
        return List.copyOf(recentEntries);
    }
}
