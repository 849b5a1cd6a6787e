package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongPredicate;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Token;

/** The keys of one shard under one token: what is known of each, and who waits until the keepers are read. */
final class KeyedShard implements RecordReader.Listener {
    private static final int ROOM = 128;
    private final int shard;
    private final Token token;
    private final Loop loop;
    private final LongPredicate own;
    private final Runnable report;
    private final Map<String, KeyedEntry> keys = new HashMap<>();
    /** What keepers have told since this shard was last ready, by key. */
    private final Map<String, List<Msg.Note>> heard = new HashMap<>();

    private final List<Waiter> waiting = new ArrayList<>();
    private final Function<RecordReader.Listener, RecordReader> readers;
    private RecordReader reader;
    private boolean ready;
    private boolean closed;
    private boolean reported;

    private record Waiter(Runnable go, Runnable refuse) {}

    /** {@code own}: whether a turn is one of this process; {@code report}: run when waiting was in vain, once a reading. */
    KeyedShard(
            final int shard,
            final Token token,
            final Loop loop,
            final LongPredicate own,
            final Function<RecordReader.Listener, RecordReader> readers,
            final Runnable report) {
        this.shard = shard;
        this.token = token;
        this.loop = loop;
        this.own = own;
        this.report = report;
        this.readers = readers;
        this.reader = readers.apply(this);
    }

    int shard() {
        return shard;
    }

    Token token() {
        return token;
    }

    RecordReader reader() {
        return reader;
    }

    Map<String, KeyedEntry> keys() {
        return keys;
    }

    void forget(final long stay) {
        keys.values().removeIf(e -> e.old(loop.now(), stay));
    }

    /** Goes on once the keepers are read, or is refused when {@code patience} is over; the reading goes on in any case. */
    void whenReady(final long patience, final Runnable go, final Runnable refuse) {
        look();
        if (ready) {
            go.run();
        } else if (closed || waiting.size() >= ROOM) {
            refuse.run();
        } else {
            final Waiter w = new Waiter(go, refuse);
            waiting.add(w);
            reader.start();
            loop.after(patience, () -> giveUp(w));
        }
    }

    private void giveUp(final Waiter w) {
        if (waiting.remove(w)) {
            if (!reported) {
                reported = true;
                report.run();
            }
            w.refuse().run();
        }
    }

    /** Another set of keepers counts from now on: it is read anew, whoever waits or not. */
    void moved() {
        if (!closed) {
            reader.stop();
            reader = readers.apply(this);
            ready = false;
            heard.clear();
            reader.start();
        }
    }

    /** The right has moved on: nothing is read any more, and nobody waits. */
    void close() {
        closed = true;
        reader.stop();
        final List<Waiter> list = new ArrayList<>(waiting);
        waiting.clear();
        list.forEach(w -> w.refuse().run());
    }

    @Override
    public void barred() {
        close();
    }

    @Override
    public void whole(final List<Msg.Note> notes) {
        notes.forEach(
                n -> heard.computeIfAbsent(n.key(), k -> new ArrayList<>()).add(n));
        if (ready) {
            fold();
        }
    }

    @Override
    public void changed() {
        if (!closed) {
            look();
        }
    }

    private void look() {
        final boolean now = !closed && reader.ready();
        if (now && !ready) {
            fold();
            reported = false;
            ready = true;
            final List<Waiter> list = new ArrayList<>(waiting);
            waiting.clear();
            list.forEach(w -> w.go().run());
        }
        ready = now;
    }

    private void fold() {
        heard.values().forEach(l -> learn(Msg.Note.settle(l)));
        heard.clear();
    }

    /** A try of another process goes before this one's own knowledge, unless that one is told clear. */
    private void learn(final Msg.Note n) {
        final KeyedEntry e = keys.get(n.key());
        if (e == null) {
            keys.put(n.key(), KeyedEntry.of(n, loop.now()));
        } else if (own.test(n.turn())
                || n.outcome() == null && (n.clear() || n.token().below(token))) {
            return;
        } else if (e.busy) {
            e.foreign = n;
        } else if (e.outcome == null) {
            e.clear = false;
            e.outcome = n.outcome();
        }
    }
}
