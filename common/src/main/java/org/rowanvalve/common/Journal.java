package org.rowanvalve.common;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Events of one process in memory: views subscribe and fold, the last ones can be read back. */
public final class Journal {
    private final Loop loop;
    private final int room;
    private final ArrayDeque<Entry> last = new ArrayDeque<>();
    private final List<Consumer<Entry>> views = new CopyOnWriteArrayList<>();
    private long seq;

    /** One event with its sequence number and its time on this node's clock. */
    public record Entry(long seq, long at, Event event) {}

    public Journal(final Loop loop, final int room) {
        this.loop = loop;
        this.room = room;
    }

    public synchronized void add(final Event event) {
        final Entry e = new Entry(++seq, loop.now(), event);
        if (last.size() == room) {
            last.removeFirst();
        }
        last.addLast(e);
        views.forEach(v -> v.accept(e));
    }

    public void fold(final Consumer<Entry> view) {
        views.add(view);
    }

    public synchronized List<Entry> tail() {
        return List.copyOf(last);
    }
}
