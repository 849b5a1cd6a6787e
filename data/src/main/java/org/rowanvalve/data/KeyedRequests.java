package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.RecordRetention;
import org.rowanvalve.control.StoreHealth;

/** Keyed requests: the intent stands at a majority of keepers before a byte leaves for the origin. */
public final class KeyedRequests {
    private static final int TURN_BITS = 24;
    private static final long SWEEP_PERIOD = 10_000;
    private static final long INTENT_WAIT = 1000;
    private static final long OUTCOME_WAIT = 700;
    private final Electorate electorate;
    private final Loop loop;
    private final Net net;
    private final Holder holder;
    private final Journal journal;
    private final StoreHealth stores;
    private final String boot;
    private final RecordRetention retention;
    private final long turns;
    private final Map<Integer, KeyedShard> shards = new HashMap<>();
    private long serial;

    /** The sending itself, once the intent stands. */
    @FunctionalInterface
    public interface Send {
        void go(Consumer<Sender.Sent> then);
    }

    public KeyedRequests(
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final Holder holder,
            final Journal journal,
            final StoreHealth stores,
            final String boot,
            final RecordRetention retention) {
        this.boot = boot;
        this.turns = Hash.mix(boot) << TURN_BITS;
        this.electorate = electorate;
        this.loop = loop;
        this.net = net;
        this.holder = holder;
        this.journal = journal;
        this.stores = stores;
        this.retention = retention;
        loop.every(SWEEP_PERIOD, this::sweep);
        electorate.onChange(() -> List.copyOf(shards.values()).forEach(KeyedShard::moved));
    }

    private void sweep() {
        shards.values().forEach(s -> s.forget(retention.ms()));
    }

    static Msg.Filled say(final String fate, final int status, final String why, final Token token, final long retry) {
        return new Msg.Filled(fate, why, status, token, Map.of(), new byte[0], 0, null, retry);
    }

    /** {@code patience}: how long the request waits for the keepers to be read; it is refused when that is over. */
    public void take(
            final int number,
            final String key,
            final String digest,
            final long patience,
            final Send send,
            final Consumer<Msg.Filled> back) {
        final KeyedShard shard = shard(number);
        shard.whenReady(
                patience,
                () -> run(shard, key, digest, send, back),
                () -> back.accept(say(Answer.REFUSED, 503, "too few keepers could be read yet", shard.token(), 1000)));
    }

    private KeyedShard shard(final int number) {
        final Token token = holder.token(number);
        final KeyedShard old = shards.get(number);
        if (old != null && !old.token().below(token)) {
            return old;
        }
        final KeyedShard shard = new KeyedShard(
                number,
                token,
                loop,
                turn -> turn >> TURN_BITS == turns >> TURN_BITS,
                listener -> new RecordReader(
                        electorate,
                        loop,
                        net,
                        stores,
                        number,
                        token,
                        boot,
                        () -> holder.token(number).equals(token),
                        listener),
                () -> journal.add(Event.of(
                        Code.KEEP_SHORT,
                        "shard",
                        number,
                        "read",
                        shards.get(number).reader().whole().size())));
        shards.put(number, shard);
        if (old != null) {
            old.close();
        }
        return shard;
    }

    private void run(
            final KeyedShard shard,
            final String key,
            final String digest,
            final Send send,
            final Consumer<Msg.Filled> back) {
        final KeyedEntry seen = shard.keys().get(key);
        final KeyedEntry old = seen != null && seen.clear && !seen.digest().equals(digest) ? null : seen;
        if (old != null && !old.digest().equals(digest)) {
            back.accept(say(Answer.REFUSED, 422, "the key was used with another body", shard.token(), 0));
        } else if (old != null && old.elsewhere()) {
            old.await(back);
            fetch(shard, key, old);
        } else if (old != null && old.outcome != null) {
            back.accept(done(shard, old.outcome));
        } else if (old != null && old.busy) {
            old.await(back);
        } else if (old != null && !old.clear) {
            back.accept(say(Answer.UNKNOWN, 504, "outcome unknown: an earlier try may have run", shard.token(), 0));
        } else {
            final KeyedEntry e = old == null ? new KeyedEntry(digest, loop.now()) : old;
            e.busy = true;
            e.await(back);
            shard.keys().put(key, e);
            intend(shard, key, e, send);
        }
    }

    /** The key ran elsewhere: its outcome's body is fetched once for all who ask meanwhile. */
    private void fetch(final KeyedShard shard, final String key, final KeyedEntry e) {
        if (e.fetching) {
            return;
        }
        e.fetching = true;
        final List<NodeId> keepers = new ArrayList<>(electorate.voters());
        Collections.rotate(keepers, (int) (serial % keepers.size()));
        new OutcomeFetch(loop, net, keepers, key, outcome -> {
                    e.fetching = false;
                    if (outcome != null) {
                        e.outcome = outcome;
                        e.answer(done(shard, outcome));
                    } else {
                        e.answer(say(
                                Answer.UNKNOWN,
                                504,
                                "the key ran, but its outcome could not be fetched",
                                shard.token(),
                                500));
                    }
                })
                .start();
    }

    private static Msg.Filled done(final KeyedShard shard, final Msg.Outcome o) {
        return new Msg.Filled(Answer.DONE, "", o.status(), shard.token(), o.heads(), o.body(), 0, null, 0);
    }

    private Msg.Note note(final KeyedShard shard, final String key, final KeyedEntry e, final boolean clear) {
        return new Msg.Note(key, shard.shard(), shard.token(), e.digest(), e.turn, clear, clear ? null : e.outcome);
    }

    private void intend(final KeyedShard shard, final String key, final KeyedEntry e, final Send send) {
        e.turn = turns + ++serial;
        e.foreign = null;
        keep(shard, note(shard, key, e, false), INTENT_WAIT, ok -> {
            if (e.foreign != null) {
                yieldTo(shard, e);
            } else if (!ok) {
                journal.add(Event.of(Code.KEEP_SHORT, "shard", shard.shard(), "key", key));
                free(shard, key, e, say(Answer.REFUSED, 503, "the intent could not be recorded", shard.token(), 1000));
            } else if (!holder.token(shard.shard()).equals(shard.token())) {
                free(shard, key, e, say(Answer.REFUSED, 503, "the right to send moved", shard.token(), 300));
            } else {
                send.go(sent -> ended(shard, key, e, sent));
            }
        });
    }

    /** Another process with the same token had a try of this key before: that one's fate counts, and is not told clear. */
    private void yieldTo(final KeyedShard shard, final KeyedEntry e) {
        e.busy = false;
        e.clear = false;
        e.outcome = e.foreign.outcome();
        e.foreign = null;
        e.answer(say(Answer.UNKNOWN, 504, "outcome unknown: an earlier try may have run", shard.token(), 0));
    }

    /** Nothing left this node: it may run the key later, and so may the next holder once a keeper tells it so. */
    private void free(final KeyedShard shard, final String key, final KeyedEntry e, final Msg.Filled f) {
        e.busy = false;
        e.clear = true;
        final Msg.Note note = note(shard, key, e, true);
        final long epoch = electorate.epoch();
        electorate
                .voters()
                .forEach(k -> net.ask(
                        k, new Msg.KeepWrite(epoch, note, shard.reader().era(k).orElse(0)), OUTCOME_WAIT, r -> {}));
        e.answer(f);
    }

    private void ended(final KeyedShard shard, final String key, final KeyedEntry e, final Sender.Sent sent) {
        final Port.Got got = sent.got();
        if (got.end() == Port.End.WHOLE) {
            e.clear = false;
            e.outcome = new Msg.Outcome(got.status(), EndToEndHeaders.of(got.heads()), got.body(), true);
            keep(shard, note(shard, key, e, false), OUTCOME_WAIT, ok -> {
                e.busy = false;
                e.answer(done(shard, e.outcome));
            });
        } else if (sent.ran()) {
            e.busy = false;
            e.clear = false;
            e.answer(say(Answer.UNKNOWN, 504, "outcome unknown: the origin's answer was lost", shard.token(), 0));
        } else {
            final long retry = Math.max(1000, sent.retryMs());
            free(shard, key, e, say(Answer.REFUSED, 503, got.why(), shard.token(), retry));
        }
    }

    private void keep(final KeyedShard shard, final Msg.Note note, final long span, final Consumer<Boolean> then) {
        new RecordWrite(electorate, loop, net, stores, shard, note, span, true, then).start();
    }
}
