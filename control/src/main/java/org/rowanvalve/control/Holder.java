package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Token;

/** A shield's leases: held, uncertain, expired or revoked; only a held one starts fills. */
public final class Holder {
    private static final long AGAIN = 200;
    private final Loop loop;
    private final Net net;
    private final ItemStore held;
    private final Timing timing;
    private final Journal journal;
    private final BooleanSupplier sound;
    private final Supplier<List<Msg.Wish>> wishes;
    private final Stopper stopper;
    private final Map<Integer, Lease> leases = new TreeMap<>();
    private final Map<Integer, Token> high = new HashMap<>();
    private NodeId boss;
    private long term;
    private boolean placed;
    private long asked;
    private long missed;

    /** The states of a lease, as its holder sees them. */
    public enum State {
        HELD,
        UNCERTAIN,
        EXPIRED,
        REVOKED
    }

    /** One shard's lease with its fencing token and the end of its validity. */
    public static final class Lease {
        private Token token;
        private State state;
        private long until;
        private boolean fencing;

        public Token token() {
            return token;
        }

        public State state() {
            return state;
        }
    }

    /** Stops all fills of a shard, gracefully and then forcibly; {@code done} hears whether all stopped. */
    @FunctionalInterface
    public interface Stopper {
        void stop(int shard, long grace, Consumer<Boolean> done);
    }

    public Holder(
            final Loop loop,
            final Net net,
            final ItemStore held,
            final Timing timing,
            final Journal journal,
            final BooleanSupplier sound,
            final Supplier<List<Msg.Wish>> wishes,
            final Stopper stopper) {
        this.wishes = wishes;
        this.loop = loop;
        this.net = net;
        this.held = held;
        this.timing = timing;
        this.journal = journal;
        this.sound = sound;
        this.stopper = stopper;
    }

    public void start() {
        loop.every(timing.renew(), this::renew);
        loop.every(50, this::tick);
    }

    public boolean may(final int shard) {
        final Lease l = leases.get(shard);
        return l != null && l.state == State.HELD && !l.fencing && loop.now() < l.until && sound.getAsBoolean();
    }

    public Token token(final int shard) {
        final Lease l = leases.get(shard);
        return l == null ? Token.ZERO : l.token;
    }

    /** Copies are served on until the shard is known to be another's; only filling needs the right. */
    public boolean serves(final int shard) {
        final Lease l = leases.get(shard);
        return l != null && l.state != State.REVOKED;
    }

    public long count() {
        return leases.keySet().stream().filter(this::may).count();
    }

    public Map<Integer, Lease> leases() {
        return leases;
    }

    private void tick() {
        final Leadership b = Leadership.of(held.get(ItemId.TENURE));
        if (b.term() > term) {
            term = b.term();
            boss = NodeId.of(b.holder());
            placed = false;
            asked = Long.MIN_VALUE / 2;
        }
        leases.forEach((s, l) -> {
            if ((l.state == State.HELD || l.state == State.UNCERTAIN) && l.until > 0 && loop.now() >= l.until) {
                l.state = State.EXPIRED;
                fence(s, l, "expired", ok -> {});
            }
        });
        if (boss != null && !placed && loop.now() - asked >= 500) {
            asked = loop.now();
            net.ask(
                    boss,
                    new Msg.Hello(term, claims(true)),
                    450,
                    r -> r.as(Msg.Welcome.class)
                            .filter(w -> !w.mine() && w.term() == term)
                            .ifPresent(w -> asked = Math.min(asked, loop.now() - 450)));
        }
    }

    private List<Msg.Claim> claims(final boolean all) {
        final List<Msg.Claim> list = new ArrayList<>();
        leases.forEach((s, l) -> {
            if (all || l.state == State.HELD || l.state == State.UNCERTAIN) {
                list.add(new Msg.Claim(s, l.token, l.fencing ? "FENCING" : l.state.name()));
            }
        });
        return list;
    }

    private void renew() {
        if (placed) {
            ask(claims(false), loop.now(), wishes.get());
        }
    }

    /** One renewal, asked again while it fails fast; it has gone unanswered once a quarter of D is over. */
    private void ask(final List<Msg.Claim> list, final long first, final List<Msg.Wish> wanted) {
        final long sent = loop.now();
        final long then = term;
        final long rest = first + timing.d() / 4 - sent;
        net.ask(boss, new Msg.Renew(term, list, Plan.of(held.get(ItemId.PLAN)).serial(), wanted), rest, r -> {
            final Msg.Renewed g = r.as(Msg.Renewed.class).orElse(null);
            if (g != null && g.term() == then && then == term) {
                renewed(sent, g);
            } else if (then != term || !placed) {
                missed = 0;
            } else if (first + timing.d() / 4 - loop.now() > AGAIN) {
                loop.after(AGAIN, () -> ask(list, first, wanted));
            } else {
                loop.after(Math.max(0, first + timing.d() / 4 - loop.now()), () -> unanswered(list, first));
            }
        });
    }

    private void unanswered(final List<Msg.Claim> list, final long sent) {
        for (final Msg.Claim c : list) {
            final Lease l = leases.get(c.shard());
            if (l.state == State.HELD && l.token.equals(c.token()) && l.until <= timing.valid(sent)) {
                l.state = State.UNCERTAIN;
                journal.add(Event.of(Code.UNSURE, "shard", c.shard(), "token", l.token.toString()));
            }
        }
        if (++missed >= 2) {
            placed = false;
        } else {
            renew();
        }
    }

    private void renewed(final long sent, final Msg.Renewed g) {
        missed = 0;
        if (!g.mine()) {
            placed = false;
            return;
        }
        for (final Msg.Claim c : g.granted()) {
            final Lease l = leases.get(c.shard());
            if (l == null
                    || !l.token.equals(c.token())
                    || l.fencing
                    || l.state != State.HELD && l.state != State.UNCERTAIN
                    || timing.valid(sent) <= loop.now()) {
                continue;
            }
            l.until = Math.max(l.until, timing.valid(sent));
            if (l.state == State.UNCERTAIN) {
                l.state = State.HELD;
                journal.add(Event.of(Code.HELD, "shard", c.shard(), "token", l.token.toString()));
            }
        }
        g.stale().forEach(c -> revoke(c, ok -> {}));
    }

    public void place(final NodeId from, final Msg.Place p, final Consumer<Msg> back) {
        if (p.term() != term || !from.equals(boss)) {
            back.accept(new Msg.Nay("not the authority known here"));
            return;
        }
        boolean rush = !placed;
        placed = true;
        missed = 0;
        for (final Msg.Claim c : p.grants()) {
            rush |= grant(c);
        }
        back.accept(new Msg.Ok());
        if (rush) {
            renew();
        }
    }

    private boolean grant(final Msg.Claim c) {
        final Token top = high.getOrDefault(c.shard(), Token.ZERO);
        final Lease old = leases.get(c.shard());
        if (c.token().below(top) || old != null && old.state == State.REVOKED && !top.below(c.token())) {
            journal.add(Event.of(
                    Code.GRANT_REJECTED, "shard", c.shard(), "token", c.token().toString(), "known", top.toString()));
            return false;
        }
        if (old != null && old.token.equals(c.token()) && (old.state != State.EXPIRED || old.fencing)) {
            return false;
        }
        final Lease l = old == null ? new Lease() : old;
        final boolean live = old != null && old.state == State.HELD && loop.now() < old.until;
        l.until = live ? l.until : 0;
        l.token = c.token();
        l.state = State.UNCERTAIN;
        high.put(c.shard(), c.token());
        leases.put(c.shard(), l);
        return true;
    }

    public void revoke(final NodeId from, final Msg.Revoke r, final Consumer<Msg> back) {
        if (r.term() < term) {
            back.accept(new Msg.Nay("old term"));
            return;
        }
        final List<Integer> stopped = new ArrayList<>();
        final int[] left = {r.list().size()};
        final boolean[] all = {true};
        for (final Msg.Claim c : r.list()) {
            revoke(c, ok -> {
                all[0] &= ok;
                if (ok) {
                    stopped.add(c.shard());
                }
                if (--left[0] == 0) {
                    back.accept(new Msg.Revoked(all[0], stopped));
                }
            });
        }
        if (r.list().isEmpty()) {
            back.accept(new Msg.Revoked(true, stopped));
        }
    }

    private void revoke(final Msg.Claim c, final Consumer<Boolean> done) {
        final Lease l = leases.get(c.shard());
        if (l == null || l.state == State.REVOKED && !l.fencing) {
            done.accept(true);
        } else if (c.token().below(l.token)) {
            done.accept(false);
        } else if (l.state == State.EXPIRED && !l.fencing) {
            l.state = State.REVOKED;
            done.accept(true);
        } else {
            l.state = State.REVOKED;
            fence(c.shard(), l, "revoked", done);
        }
    }

    private void fence(final int shard, final Lease l, final String why, final Consumer<Boolean> done) {
        l.fencing = true;
        final Token token = l.token;
        stopper.stop(shard, timing.m() / 2, ok -> {
            if (ok) {
                l.fencing = false;
                journal.add(Event.of(Code.FENCED, "shard", shard, "token", token.toString(), "why", why));
            }
            done.accept(ok);
        });
    }

    /** After a fence that could not be confirmed: the authority says the wait is over. */
    public void ack(final Msg.FenceAck a, final Consumer<Msg> back) {
        a.shards().forEach(s -> {
            final Lease l = leases.get(s);
            if (l != null && l.state != State.HELD) {
                l.fencing = false;
            }
        });
        back.accept(new Msg.Ok());
    }

    /** A freeze or a bad clock: nothing believed before counts any more. */
    public void drop() {
        placed = false;
        leases.forEach((s, l) -> {
            if (l.state == State.HELD || l.state == State.UNCERTAIN) {
                l.state = State.EXPIRED;
                fence(s, l, "dropped", ok -> {});
            }
        });
    }
}
