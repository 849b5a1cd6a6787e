package rv.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import rv.base.Code;
import rv.base.Event;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Token;
import rv.control.Holder;
import rv.control.Quorum;

/** Keyed requests: the intent stands at a majority of keepers before a byte leaves for the origin. */
public final class Once {
    private static final int ROOM = 128;
    private static final long STAY = 150_000;
    private final Quorum quorum;
    private final Loop loop;
    private final Net net;
    private final Holder holder;
    private final Journal journal;
    private final Map<Integer, Desk> desks = new HashMap<>();

    /** The sending itself, once the intent stands. */
    @FunctionalInterface
    public interface Send {
        void go(Consumer<Sender.Sent> then);
    }

    private static final class Entry {
        private final String digest;
        private final long at;
        private boolean busy;
        private boolean clear;
        private Msg.Outcome outcome;
        private final List<Consumer<Msg.Filled>> queue = new ArrayList<>();

        Entry(final String digest, final long at) {
            this.digest = digest;
            this.at = at;
        }
    }

    private static final class Desk {
        private final Token token;
        private boolean ready;
        private boolean asking;
        private final Map<String, Entry> keys = new HashMap<>();
        private final List<Runnable> waitlist = new ArrayList<>();
        private final Map<NodeId, Long> eras = new HashMap<>();

        Desk(final Token token) {
            this.token = token;
        }
    }

    public Once(final Quorum quorum, final Loop loop, final Net net, final Holder holder, final Journal journal) {
        this.quorum = quorum;
        this.loop = loop;
        this.net = net;
        this.holder = holder;
        this.journal = journal;
        loop.every(10_000, this::sweep);
    }

    private void sweep() {
        desks.values().forEach(d -> d.keys.values().removeIf(e -> !e.busy && loop.now() - e.at > STAY));
    }

    static Msg.Filled say(final String fate, final int status, final String why, final Token token, final long retry) {
        return new Msg.Filled(fate, why, status, token, Map.of(), new byte[0], 0, null, retry);
    }

    public void take(final int shard, final String key, final String digest, final Send send, final Consumer<Msg.Filled> back) {
        final Token token = holder.token(shard);
        Desk d = desks.get(shard);
        if (d == null || d.token.below(token)) {
            d = new Desk(token);
            desks.put(shard, d);
        }
        final Desk desk = d;
        if (desk.ready) {
            run(desk, shard, key, digest, send, back);
        } else if (desk.waitlist.size() >= ROOM) {
            back.accept(say(Answer.REFUSED, 503, "keepers are still being read", token, 1000));
        } else {
            desk.waitlist.add(() -> {
                if (desk.ready) {
                    run(desk, shard, key, digest, send, back);
                } else {
                    back.accept(say(Answer.REFUSED, 503, "too few keepers could be read", token, 1000));
                }
            });
            read(desk, shard);
        }
    }

    private void read(final Desk desk, final int shard) {
        if (desk.asking) {
            return;
        }
        desk.asking = true;
        final Set<NodeId> good = new HashSet<>();
        final Map<String, Msg.Note> notes = new HashMap<>();
        final int[] left = {quorum.electors().size()};
        for (final NodeId k : quorum.electors()) {
            net.ask(k, new Msg.KeepRead(shard, desk.token), 700, r -> {
                left[0]--;
                r.as(Msg.Kept.class).filter(g -> g.ok()).ifPresent(g -> {
                    desk.eras.put(k, g.era());
                    g.notes().forEach(n -> notes.merge(n.key(), n, (a, b) -> a.outcome() != null ? a : b));
                    if (!g.lapse()) {
                        good.add(k);
                    }
                });
                if (desk.asking && (quorum.read(good) || left[0] == 0)) {
                    desk.asking = false;
                    desk.ready = quorum.read(good);
                    if (desk.ready) {
                        notes.values().forEach(n -> {
                            final Entry e = new Entry(n.digest(), loop.now());
                            e.outcome = n.outcome();
                            desk.keys.putIfAbsent(n.key(), e);
                        });
                    } else {
                        journal.add(Event.of(Code.KEEP_SHORT, "shard", shard, "read", good.size()));
                    }
                    final List<Runnable> list = new ArrayList<>(desk.waitlist);
                    desk.waitlist.clear();
                    list.forEach(Runnable::run);
                }
            });
        }
    }

    private void run(final Desk desk, final int shard, final String key, final String digest, final Send send,
                     final Consumer<Msg.Filled> back) {
        final Entry seen = desk.keys.get(key);
        final Entry old = seen != null && seen.clear && !seen.digest.equals(digest) ? null : seen;
        if (old != null && !old.digest.equals(digest)) {
            back.accept(say(Answer.REFUSED, 422, "the key was used with another body", desk.token, 0));
        } else if (old != null && old.outcome != null) {
            back.accept(done(desk, old.outcome));
        } else if (old != null && old.busy) {
            old.queue.add(back);
        } else if (old != null && !old.clear) {
            back.accept(say(Answer.UNKNOWN, 504, "outcome unknown", desk.token, 0));
        } else {
            final Entry e = old == null ? new Entry(digest, loop.now()) : old;
            e.busy = true;
            e.queue.add(back);
            desk.keys.put(key, e);
            intend(desk, shard, key, e, send);
        }
    }

    private Msg.Filled done(final Desk desk, final Msg.Outcome o) {
        return new Msg.Filled(Answer.DONE, "", o.status(), desk.token, o.heads(), o.body(), 0, null, 0);
    }

    private void answer(final Entry e, final Msg.Filled f) {
        final List<Consumer<Msg.Filled>> list = new ArrayList<>(e.queue);
        e.queue.clear();
        list.forEach(c -> c.accept(f));
    }

    private void intend(final Desk desk, final int shard, final String key, final Entry e, final Send send) {
        keep(desk, new Msg.Note(key, shard, desk.token, e.digest, null), 1000, true, ok -> {
            if (!ok) {
                journal.add(Event.of(Code.KEEP_SHORT, "shard", shard, "key", key));
                free(desk, key, e, say(Answer.REFUSED, 503, "the intent could not be recorded", desk.token, 1000));
                return;
            }
            if (!holder.token(shard).equals(desk.token)) {
                free(desk, key, e, say(Answer.REFUSED, 503, "the right to send moved", desk.token, 300));
                return;
            }
            send.go(sent -> ended(desk, shard, key, e, sent));
        });
    }

    /** Nothing left this node: the same holder may run the key later, nobody else will. */
    private void free(final Desk desk, final String key, final Entry e, final Msg.Filled f) {
        e.busy = false;
        e.clear = true;
        answer(e, f);
    }

    private void ended(final Desk desk, final int shard, final String key, final Entry e, final Sender.Sent sent) {
        final Port.Got got = sent.got();
        if (got.end() == Port.End.WHOLE) {
            e.clear = false;
            e.outcome = new Msg.Outcome(got.status(), Shield.pass(got.heads()), got.body(), true);
            keep(desk, new Msg.Note(key, shard, desk.token, e.digest, e.outcome), 700, true, ok -> {
                e.busy = false;
                answer(e, done(desk, e.outcome));
            });
        } else if (sent.ran()) {
            e.busy = false;
            e.clear = false;
            answer(e, say(Answer.UNKNOWN, 504, "outcome unknown", desk.token, 0));
        } else {
            free(desk, key, e, say(Answer.REFUSED, 503, got.why(), desk.token, Math.max(1000, sent.retryMs())));
        }
    }

    /** Counts only keepers that are still in the era in which this desk read them; if one is not, all are read anew. */
    private void keep(final Desk desk, final Msg.Note note, final long span, final boolean again, final Consumer<Boolean> then) {
        final Set<NodeId> good = new HashSet<>();
        final int[] left = {quorum.electors().size()};
        final boolean[] over = {false};
        final boolean[] stale = {false};
        for (final NodeId k : quorum.electors()) {
            net.ask(k, new Msg.KeepWrite(note, desk.eras.getOrDefault(k, 0L)), span, r -> {
                left[0]--;
                final Msg.KeepSeen seen = r.as(Msg.KeepSeen.class).orElse(new Msg.KeepSeen(false, false, false));
                stale[0] |= seen.stale();
                if (seen.ok() && !seen.lapse()) {
                    good.add(k);
                }
                if (over[0] || !quorum.write(good) && left[0] > 0) {
                    return;
                }
                over[0] = true;
                if (quorum.write(good) || !stale[0] || !again) {
                    desk.ready &= quorum.write(good) || !stale[0];
                    then.accept(quorum.write(good));
                } else {
                    desk.ready = false;
                    desk.waitlist.add(() -> keep(desk, note, span, false, then));
                    read(desk, note.shard());
                }
            });
        }
    }
}
