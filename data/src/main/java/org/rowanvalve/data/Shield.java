package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.Match;

/** Answers edges: from its cache, by one fill for many, straight through, or once only. */
public final class Shield {
    private static final int ROOM = 512;
    /** How long a keyed request waits at most for the keepers to be read. */
    private static final long KEYED_PATIENCE = 1500;
    /** How long an edge has to say whether one more attempt may be made, in ms. */
    private static final long GRANT_WAIT = 300;

    private static final long LONGEST_PATIENCE = 400;

    private final Loop loop;
    private final Net net;
    private final ConfigView view;
    private final Holder holder;
    private final Sender sender;
    private final KeyedRequests once;
    private final BooleanSupplier fresh;
    private final Runnable sync;
    private final Setup setup;
    private final Cache cache;
    private final Map<String, Flight> flights = new HashMap<>();

    private record Flight(Mark mark, List<Waiter> queue) {}

    private record Waiter(Call call, long cutoff, Consumer<Msg.Filled> back) {
        Msg.Fill fill() {
            return call.fill();
        }
    }

    /** A request as an edge asked it, with the attempts that this node may make for it. */
    private record Call(Msg.Fill fill, AttemptAllowance attempts) {}

    public Shield(
            final Loop loop,
            final Net net,
            final ConfigView view,
            final Holder holder,
            final Sender sender,
            final KeyedRequests once,
            final BooleanSupplier fresh,
            final Runnable sync,
            final Setup setup,
            final long room) {
        this.loop = loop;
        this.net = net;
        this.view = view;
        this.holder = holder;
        this.sender = sender;
        this.once = once;
        this.fresh = fresh;
        this.sync = sync;
        this.setup = setup;
        this.cache = new Cache(room, c -> view.clean(c.tags()));
    }

    private Msg.Filled reject(final Msg.Fill f, final int status, final String why, final long retry) {
        return KeyedRequests.say(Answer.REFUSED, status, why, holder.token(f.shard()), retry);
    }

    /** {@code from}: the edge that keeps count of the request's attempts. */
    public void take(final NodeId from, final Msg.Fill f, final Consumer<Msg> back) {
        final AttemptAllowance attempts = allowance(from, f);
        take(
                new Call(f, attempts),
                loop.now() + f.span(),
                loop.now() + patience(f),
                answer -> back.accept(f.attempts() == null ? answer : answer.withUnused(attempts.unused())));
    }

    /** For how long a request waits until this node knows what its edge knows; a read for a quarter of its aim at most. */
    private long patience(final Msg.Fill f) {
        final long aim = view.named(f.route())
                .filter(r -> r.match().is(Match.CACHED))
                .map(r -> r.match().aimMs())
                .orElse(0L);
        return Math.min(aim > 0 ? aim / 4 : LONGEST_PATIENCE, Math.min(LONGEST_PATIENCE, f.span()));
    }

    /** An edge that states no attempts counts none, so the route alone bounds them here. */
    private AttemptAllowance allowance(final NodeId from, final Msg.Fill f) {
        if (f.attempts() == null) {
            return AttemptAllowance.of(
                    view.named(f.route()).map(r -> r.match().tries()).orElse(1));
        }
        return AttemptAllowance.of(
                f.attempts(),
                then -> net.ask(
                        from,
                        new Msg.MoreAttempts(f.serial()),
                        GRANT_WAIT,
                        r -> then.accept(r.as(Msg.AttemptsGranted.class)
                                .map(Msg.AttemptsGranted::count)
                                .orElse(0))));
    }

    private void take(final Call call, final long cutoff, final long patience, final Consumer<Msg.Filled> back) {
        final Msg.Fill f = call.fill();
        final ConfiguredRoute row = view.named(f.route()).orElse(null);
        final Mark mark = row == null ? null : view.mark(row, f.path());
        if (row == null || f.mark() != null && !mark.covers(f.mark())) {
            if (loop.now() >= patience) {
                back.accept(reject(f, 503, "the holder's frame is behind", 1000));
            } else {
                sync.run();
                loop.after(50, () -> take(call, cutoff, patience, back));
            }
            return;
        }
        if (f.pass()) {
            loose(call, row, cutoff, back);
        } else if (f.shard()
                != ShardRouting.shard(
                        row,
                        f.path(),
                        f.key(),
                        setup.shards(),
                        setup.places().size(),
                        f.shard() % setup.places().size())) {
            back.accept(reject(f, 400, "the shard does not fit the request", 0));
        } else if (holder.token(f.shard()).below(f.known())
                || holder.token(f.shard()).equals(Token.ZERO)) {
            back.accept(reject(f, 503, "not the holder", 500));
        } else if (row.match().purgeable() && !fresh.getAsBoolean()) {
            back.accept(reject(f, 503, "the holder's frame is not confirmed", 1000));
        } else {
            switch (row.match().mode()) {
                case Match.CACHED -> cached(call, row, mark, cutoff, back);
                case Match.ONCE -> keyed(call, row, cutoff, back);
                default -> through(call, row, cutoff, back);
            }
        }
    }

    /** What needs no right to fill, or is passed through unkept while nobody has the right. */
    private void loose(final Call call, final ConfiguredRoute row, final long cutoff, final Consumer<Msg.Filled> back) {
        final Msg.Fill f = call.fill();
        if (!row.match().any() || row.match().is(Match.ONCE)) {
            back.accept(reject(f, 503, "this route needs the right to fill", 500));
            return;
        }
        final boolean once = row.match().is(Match.SINGLE);
        sender.send(
                order(call, row, OriginRequest.NONE, once, cutoff),
                sent -> back.accept(sent.got().end() == Port.End.WHOLE ? whole(f, sent.got()) : fail(f, sent)));
    }

    private Msg.Filled whole(final Msg.Fill f, final Port.Got got) {
        return new Msg.Filled(
                Answer.DONE,
                "",
                got.status(),
                holder.token(f.shard()),
                EndToEndHeaders.of(got.heads()),
                got.body(),
                0,
                null,
                0);
    }

    private OriginRequest order(
            final Call call, final ConfiguredRoute row, final int shard, final boolean once, final long cutoff) {
        final Msg.Fill f = call.fill();
        final String to =
                row.match().pick(Hash.mix(f.id() == null || f.id().isEmpty() ? f.path() + f.serial() : f.id()));
        return new OriginRequest(
                shard,
                new Port.Send(
                        to,
                        f.method(),
                        f.path(),
                        f.id() == null ? "" : f.id(),
                        f.key(),
                        f.body(),
                        f.type(),
                        0,
                        f.heads() == null ? Map.of() : f.heads()),
                once,
                cutoff,
                row.match().rank(),
                call.attempts(),
                f.extra() || call.attempts().used());
    }

    private boolean may(final Msg.Fill f, final Consumer<Msg.Filled> back) {
        if (!holder.may(f.shard())) {
            back.accept(reject(f, 503, "the right to fill is not sure", 1000));
            return false;
        }
        return true;
    }

    private void cached(
            final Call call,
            final ConfiguredRoute row,
            final Mark mark,
            final long cutoff,
            final Consumer<Msg.Filled> back) {
        final Msg.Fill f = call.fill();
        final String key = ShardRouting.slot(row, f.path(), null);
        final CachedCopy c = holder.serves(f.shard()) ? copy(f, key, mark) : null;
        if (c != null && c.of(row.match())) {
            back.accept(give(f, c));
            return;
        }
        final Flight now = flights.get(key);
        if (now != null && now.mark().covers(mark)) {
            if (now.queue().size() >= ROOM) {
                back.accept(reject(f, 503, "too many wait for this object", 1000));
            } else {
                now.queue().add(new Waiter(call, cutoff, back));
            }
            return;
        }
        if (!may(f, back)) {
            return;
        }
        final Flight mine = new Flight(mark, new ArrayList<>(List.of(new Waiter(call, cutoff, back))));
        flights.put(key, mine);
        final OriginRequest order = order(call, row, f.shard(), false, cutoff);
        sender.send(order, sent -> {
            flights.remove(key, mine);
            filled(key, row, mine, order.service(), sent);
        });
    }

    /** Without the right to fill, what is cached is served on, for as long as an object's change allows. */
    private CachedCopy copy(final Msg.Fill f, final String key, final Mark mark) {
        return (holder.may(f.shard()) ? cache.get(key, loop.now(), mark) : cache.late(key, loop.now(), mark))
                .orElse(null);
    }

    private void filled(
            final String key,
            final ConfiguredRoute row,
            final Flight flight,
            final String service,
            final Sender.Sent sent) {
        final Port.Got got = sent.got();
        if (got.end() != Port.End.WHOLE) {
            flight.queue().forEach(w -> w.back().accept(fail(w.fill(), sent)));
            return;
        }
        final Map<String, Long> tags = new TreeMap<>();
        got.tags().forEach(t -> tags.put(t, view.tagged(t).ver()));
        final boolean clean = got.tags().stream().allMatch(t -> view.tagged(t).at() < sent.at());
        final CachedCopy copy = new CachedCopy(
                got.status(),
                EndToEndHeaders.of(got.heads()),
                got.body(),
                sent.at(),
                row.match().lifetimeMs(),
                flight.mark(),
                tags,
                service);
        final ConfiguredRoute now = view.named(row.name()).orElse(null);
        final boolean same = clean
                && now != null
                && now.match().services().contains(service)
                && view.mark(now, flight.queue().get(0).fill().path()).equals(flight.mark());
        if (same && got.status() == 200) {
            cache.put(key, copy);
        }
        for (final Waiter w : flight.queue()) {
            if (same) {
                w.back().accept(give(w.fill(), copy));
            } else if (now != null && loop.now() + 200 < w.cutoff()) {
                take(w.call(), w.cutoff(), loop.now(), w.back());
            } else {
                w.back().accept(reject(w.fill(), 503, "purged while it was filled", 500));
            }
        }
    }

    private Msg.Filled give(final Msg.Fill f, final CachedCopy c) {
        return new Msg.Filled(
                Answer.DONE,
                "",
                c.status(),
                holder.token(f.shard()),
                c.heads(),
                c.body(),
                loop.now() - c.born(),
                c.whole(),
                0,
                c.service());
    }

    private Msg.Filled fail(final Msg.Fill f, final Sender.Sent sent) {
        final String fate = sent.ran() ? Answer.UNKNOWN : Answer.REFUSED;
        return KeyedRequests.say(
                fate, sent.ran() ? 502 : 503, sent.got().why(), holder.token(f.shard()), sent.retryMs());
    }

    private void through(
            final Call call, final ConfiguredRoute row, final long cutoff, final Consumer<Msg.Filled> back) {
        final Msg.Fill f = call.fill();
        if (may(f, back)) {
            sender.send(
                    order(call, row, f.shard(), row.match().is(Match.SINGLE), cutoff),
                    sent -> back.accept(sent.got().end() == Port.End.WHOLE ? whole(f, sent.got()) : fail(f, sent)));
        }
    }

    private void keyed(final Call call, final ConfiguredRoute row, final long cutoff, final Consumer<Msg.Filled> back) {
        final Msg.Fill f = call.fill();
        if (f.key() == null) {
            back.accept(reject(f, 400, "a keyed request lacks its key", 0));
        } else if (may(f, back)) {
            final byte[] body = f.body() == null ? new byte[0] : f.body();
            once.take(
                    f.shard(),
                    row.match().host().isEmpty()
                            ? row.name() + "|" + row.match().service() + "|" + f.key()
                            : ShardRouting.slot(row, f.path(), f.key()),
                    Hash.digest(
                            (f.path() + "\n" + Hash.digest(body)).getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                    Math.min(KEYED_PATIENCE, Math.max(0, cutoff - loop.now()) / 2),
                    then -> sender.send(order(call, row, f.shard(), true, cutoff), then),
                    back);
        }
    }
}
