package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.Msg;

/** What a holder knows of one key, and who waits for it. */
final class KeyedEntry {
    private final String digest;
    private final long at;
    private final List<Consumer<Msg.Filled>> waiting = new ArrayList<>();
    /** A try of this key is under way here. */
    boolean busy;
    /** Nothing of the last try has left for an origin. */
    boolean clear;
    /** The outcome's body is being fetched from a keeper. */
    boolean fetching;

    long turn;
    Msg.Outcome outcome;
    /** A try of another process, found at a keeper while this one's intent was being recorded. */
    Msg.Note foreign;

    KeyedEntry(final String digest, final long at) {
        this.digest = digest;
        this.at = at;
    }

    static KeyedEntry of(final Msg.Note n, final long now) {
        final KeyedEntry e = new KeyedEntry(n.digest(), now);
        e.outcome = n.outcome();
        e.clear = n.outcome() == null && n.clear();
        return e;
    }

    String digest() {
        return digest;
    }

    boolean old(final long now, final long stay) {
        return !busy && now - at > stay;
    }

    /** The body stands at keepers only. */
    boolean elsewhere() {
        return outcome != null && !outcome.done();
    }

    void await(final Consumer<Msg.Filled> back) {
        waiting.add(back);
    }

    void answer(final Msg.Filled f) {
        final List<Consumer<Msg.Filled>> list = new ArrayList<>(waiting);
        waiting.clear();
        list.forEach(c -> c.accept(f));
    }
}
