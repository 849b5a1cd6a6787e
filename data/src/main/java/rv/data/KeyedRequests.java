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
import rv.base.Hash;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;
import rv.base.Token;
import rv.control.Electorate;
import rv.control.Holder;
import rv.control.StoreHealth;

/** Keyed requests: the intent stands at a majority of keepers before a byte leaves for the origin. */
public final class KeyedRequests {
    private static final int ROOM = 128;
    private static final long STAY = 150_000;
    private final Electorate electorate;
    private final Loop loop;
    private final Net net;
    private final Holder holder;
    private final Journal journal;
    private final StoreHealth stores;
    private final String boot;
    private final long turns;
    private final Map<Integer, Desk> desks = new HashMap<>();
    private long serial;

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
        private long turn;
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
        private long from;
        private final Map<String, Entry> keys = new HashMap<>();
        private final List<Runnable> waitlist = new ArrayList<>();
        private final Map<NodeId, Long> eras = new HashMap<>();

        Desk(final Token token) {
            this.token = token;
        }
    }

    public KeyedRequests(
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final Holder holder,
            final Journal journal,
            final StoreHealth stores,
            final String boot) {
        this.boot = boot;
        this.turns = Hash.mix(boot) << 24;
        this.electorate = electorate;
        this.loop = loop;
        this.net = net;
        this.holder = holder;
        this.journal = journal;
        this.stores = stores;
        loop.every(10_000, this::sweep);
    }

    private void sweep() {
        desks.values().forEach(d -> d.keys.values().removeIf(e -> !e.busy && loop.now() - e.at > STAY));
    }

    static Msg.Filled say(final String fate, final int status, final String why, final Token token, final long retry) {
        return new Msg.Filled(fate, why, status, token, Map.of(), new byte[0], 0, null, retry);
    }

    public void take(
            final int shard, final String key, final String digest, final Send send, final Consumer<Msg.Filled> back) {
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
        final long from = ++serial;
        desk.from = from;
        final long begun = loop.now();
        final Set<NodeId> good = new HashSet<>();
        final Set<NodeId> told = new HashSet<>();
        final Map<String, List<Msg.Note>> notes = new HashMap<>();
        final int[] left = {electorate.voters().size()};
        for (final NodeId k : electorate.voters()) {
            net.ask(k, new Msg.KeepRead(electorate.epoch(), shard, desk.token, boot), 700, r -> {
                left[0]--;
                if (Msg.Nay.disk(r)) {
                    stores.failing(k);
                }
                r.as(Msg.Kept.class).filter(g -> g.ok()).ifPresent(g -> {
                    desk.eras.put(k, g.era());
                    g.notes()
                            .forEach(n -> notes.computeIfAbsent(n.key(), x -> new ArrayList<>())
                                    .add(n));
                    told.add(k);
                    stores.heard(k);
                    if (!g.lapse()) {
                        good.add(k);
                    }
                });
                read(desk, shard, from, begun, good, told, left[0], notes);
            });
        }
        loop.after(StoreHealth.HUSH, () -> read(desk, shard, from, begun, good, told, left[0], notes));
    }

    private void read(
            final Desk desk,
            final int shard,
            final long from,
            final long begun,
            final Set<NodeId> good,
            final Set<NodeId> told,
            final int left,
            final Map<String, List<Msg.Note>> notes) {
        final boolean whole = electorate.quorum().read(good) && stores.enough(told, loop.now() - begun);
        final boolean lack = good.size() + left < electorate.quorum().need() || left == 0;
        if (!desk.asking || desk.from != from || !whole && !lack) {
            return;
        }
        desk.asking = false;
        desk.ready = electorate.quorum().read(good);
        if (desk.ready) {
            notes.values().forEach(l -> {
                final Msg.Note n = Msg.Note.settle(l);
                final Entry e = new Entry(n.digest(), loop.now());
                e.outcome = n.outcome();
                e.clear = n.outcome() == null && n.clear();
                desk.keys.putIfAbsent(n.key(), e);
            });
        } else {
            journal.add(Event.of(Code.KEEP_SHORT, "shard", shard, "read", good.size()));
        }
        final List<Runnable> list = new ArrayList<>(desk.waitlist);
        desk.waitlist.clear();
        list.forEach(Runnable::run);
    }

    private void run(
            final Desk desk,
            final int shard,
            final String key,
            final String digest,
            final Send send,
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
            back.accept(say(Answer.UNKNOWN, 504, "outcome unknown: an earlier try may have run", desk.token, 0));
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
        e.turn = turns + ++serial;
        keep(desk, new Msg.Note(key, shard, desk.token, e.digest, e.turn, false, null), 1000, true, ok -> {
            if (!ok) {
                journal.add(Event.of(Code.KEEP_SHORT, "shard", shard, "key", key));
                free(
                        desk,
                        shard,
                        key,
                        e,
                        say(Answer.REFUSED, 503, "the intent could not be recorded", desk.token, 1000));
                return;
            }
            if (!holder.token(shard).equals(desk.token)) {
                free(desk, shard, key, e, say(Answer.REFUSED, 503, "the right to send moved", desk.token, 300));
                return;
            }
            send.go(sent -> ended(desk, shard, key, e, sent));
        });
    }

    /** Nothing left this node: it may run the key later, and so may the next holder once a keeper tells it so. */
    private void free(final Desk desk, final int shard, final String key, final Entry e, final Msg.Filled f) {
        e.busy = false;
        e.clear = true;
        final Msg.Note note = new Msg.Note(key, shard, desk.token, e.digest, e.turn, true, null);
        electorate
                .voters()
                .forEach(k -> net.ask(
                        k, new Msg.KeepWrite(electorate.epoch(), note, desk.eras.getOrDefault(k, 0L)), 700, r -> {}));
        answer(e, f);
    }

    private void ended(final Desk desk, final int shard, final String key, final Entry e, final Sender.Sent sent) {
        final Port.Got got = sent.got();
        if (got.end() == Port.End.WHOLE) {
            e.clear = false;
            e.outcome = new Msg.Outcome(got.status(), Shield.pass(got.heads()), got.body(), true);
            keep(desk, new Msg.Note(key, shard, desk.token, e.digest, e.turn, false, e.outcome), 700, true, ok -> {
                e.busy = false;
                answer(e, done(desk, e.outcome));
            });
        } else if (sent.ran()) {
            e.busy = false;
            e.clear = false;
            answer(e, say(Answer.UNKNOWN, 504, "outcome unknown: the origin's answer was lost", desk.token, 0));
        } else {
            free(desk, shard, key, e, say(Answer.REFUSED, 503, got.why(), desk.token, Math.max(1000, sent.retryMs())));
        }
    }

    /** Counts only keepers that are still in the era in which this desk read them; if one is not, all are read anew. */
    private void keep(
            final Desk desk, final Msg.Note note, final long span, final boolean again, final Consumer<Boolean> then) {
        final Round round = new Round(desk, note, span, again, then);
        for (final NodeId k : electorate.voters()) {
            net.ask(
                    k,
                    new Msg.KeepWrite(electorate.epoch(), note, desk.eras.getOrDefault(k, 0L)),
                    span,
                    r -> round.heard(k, r));
        }
        loop.after(StoreHealth.HUSH, round::look);
    }

    /** One note on its way to the keepers: done at a majority and at every store that is heard from. */
    private final class Round {
        private final Desk desk;
        private final Msg.Note note;
        private final long span;
        private final boolean again;
        private final Consumer<Boolean> then;
        private final long from = loop.now();
        private final Set<NodeId> good = new HashSet<>();
        private final Set<NodeId> synced = new HashSet<>();
        private int left = electorate.voters().size();
        private boolean stale;
        private boolean barred;
        private boolean over;

        Round(
                final Desk desk,
                final Msg.Note note,
                final long span,
                final boolean again,
                final Consumer<Boolean> then) {
            this.desk = desk;
            this.note = note;
            this.span = span;
            this.again = again;
            this.then = then;
        }

        void heard(final NodeId k, final Reply r) {
            left--;
            if (Msg.Nay.disk(r)) {
                stores.failing(k);
            }
            r.as(Msg.KeepSeen.class).ifPresent(s -> {
                stale |= s.stale();
                barred |= !s.ok() && !s.stale() && stores.has(k);
                if (s.ok()) {
                    synced.add(k);
                    stores.heard(k);
                }
                if (s.ok() && !s.lapse()) {
                    good.add(k);
                }
            });
            look();
        }

        void look() {
            if (over) {
                return;
            }
            final boolean most = electorate.quorum().write(good);
            if (most && !barred && stores.enough(synced, loop.now() - from)) {
                end(true);
            } else if (barred
                    || stale && again
                    || !most
                            && (left == 0
                                    || good.size() + left < electorate.quorum().need())) {
                end(false);
            }
        }

        private void end(final boolean ok) {
            over = true;
            if (ok || !stale || !again) {
                desk.ready &= ok || !stale;
                then.accept(ok);
            } else {
                desk.ready = false;
                desk.waitlist.add(() -> keep(desk, note, span, false, then));
                read(desk, note.shard());
            }
        }
    }
}
