package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Ver;

/** The acting store's side of plan and leases. */
public final class Authority {
    private static final long SETTLE = 3000;
    private final Loop loop;
    private final Net net;
    private final Writer writer;
    private final Membership roster;
    private final Timing timing;
    private final Journal journal;
    private final int shards;
    private final Predicate<NodeId> sound;
    private final OwnerChoice choice;
    private final Shares shares = new Shares();
    private final Map<Integer, Row> rows = new TreeMap<>();
    private final Map<NodeId, Set<Integer>> acks = new HashMap<>();
    private final Set<NodeId> met = new HashSet<>();
    private Tenure tenure;
    private Plan plan;
    private Ver ver = Ver.ZERO;
    private long base;
    private long began;
    private long moved;
    private boolean ready;
    private boolean busy;
    private boolean wary;

    private static final class Row {
        private long granted;
        private long renewed;
        private boolean moving;
        private boolean asked;
        private boolean free;
    }

    public Authority(
            final Loop loop,
            final Net net,
            final Writer writer,
            final Membership roster,
            final Timing timing,
            final Journal journal,
            final int shards,
            final Predicate<NodeId> sound,
            final Places places) {
        this.choice = new OwnerChoice(places, roster);
        this.loop = loop;
        this.net = net;
        this.writer = writer;
        this.roster = roster;
        this.timing = timing;
        this.journal = journal;
        this.shards = shards;
        this.sound = sound;
    }

    public void start(final Tenure t) {
        tenure = t;
        loop.every(100, this::tick);
    }

    public void won(final long term, final long last, final boolean leapt) {
        wary = leapt;
        rows.clear();
        acks.clear();
        met.clear();
        shares.clear(loop.now());
        base = last;
        began = loop.now();
        ready = false;
        busy = false;
        load();
    }

    /** The first act of a term restates the plan, so that a late write of an earlier term finds another version. */
    private void load() {
        busy = true;
        final long term = tenure.term();
        final String tag = "load-" + term + "-" + loop.now();
        writer.write(
                ItemId.PLAN,
                tag,
                1000,
                now -> {
                    final Plan old = Plan.of(now);
                    return old.term() > term ? Optional.empty() : Optional.of(now.next(Json.text(old.of(term)), tag));
                },
                r -> {
                    if (term != tenure.term()) {
                        return;
                    }
                    busy = false;
                    if (r.ok()) {
                        plan = Plan.of(r.item());
                        ver = r.item().ver();
                        for (int i = 0; i < shards; i++) {
                            rows.computeIfAbsent(i, k -> {
                                final Row row = new Row();
                                row.granted = base;
                                return row;
                            });
                        }
                        ready = true;
                    }
                });
    }

    private void tick() {
        if (!tenure.acting() || busy) {
            return;
        }
        if (!ready) {
            load();
            return;
        }
        final List<NodeId> able = roster.live(Role.SHIELD).stream()
                .filter(m -> m.condition() != Condition.LEAVING && m.condition() != Condition.UNREADY)
                .map(Member::id)
                .filter(sound)
                .toList();
        if (able.isEmpty() || plan.parts().isEmpty() && loop.now() - began < 1500) {
            return;
        }
        if (wary && !calmed()) {
            return;
        }
        final List<NodeId> calm = able.stream()
                .filter(n -> roster.age(n) >= SETTLE || plan.parts().isEmpty())
                .toList();
        final Map<Integer, NodeId> moves = new TreeMap<>();
        final Map<NodeId, List<Msg.Claim>> revokes = new TreeMap<>();
        for (int s = 0; s < shards; s++) {
            weigh(s, able, calm.isEmpty() ? able : calm, moves, revokes);
        }
        revokes.forEach(this::revoke);
        if (moves.isEmpty()) {
            remind(able);
            shares.next(plan, shards, loop.now()).ifPresent(p -> write(p, Map.of()));
        } else {
            move(moves);
        }
    }

    /** After the only memory left: grants it does not know of may live until the gate, or until all owners have said hello. */
    private boolean calmed() {
        if (loop.now() < timing.gate(base) && !plan.parts().stream().allMatch(p -> met.contains(p.node()))) {
            return false;
        }
        wary = false;
        rows.values().forEach(r -> r.free = true);
        return true;
    }

    private void weigh(
            final int s,
            final List<NodeId> able,
            final List<NodeId> calm,
            final Map<Integer, NodeId> moves,
            final Map<NodeId, List<Msg.Claim>> revokes) {
        final Row row = rows.get(s);
        final Plan.Part part = s < plan.parts().size() ? plan.parts().get(s) : null;
        final NodeId now = part == null ? null : part.node();
        final NodeId want = choice.owner(s, now, able, calm);
        if (part == null || row.free) {
            moves.put(s, want);
            return;
        }
        final NodeId owner = part.node();
        if (!able.contains(owner)) {
            row.moving = true;
            final Member m = roster.get(owner);
            if (m != null && m.condition() == Condition.LEAVING && roster.lives(owner)) {
                ask(s, row, part, revokes);
            }
            if (loop.now() >= timing.gate(row.granted)) {
                row.free = true;
                acks.computeIfAbsent(owner, k -> new HashSet<>()).add(s);
                moves.put(s, want);
            }
        } else if (!want.equals(owner) && (row.asked || loop.now() - moved >= SETTLE)) {
            row.moving = true;
            ask(s, row, part, revokes);
        } else if (row.moving && !row.asked) {
            row.moving = false;
        }
    }

    private void ask(final int s, final Row row, final Plan.Part part, final Map<NodeId, List<Msg.Claim>> revokes) {
        if (!row.asked) {
            row.asked = true;
            revokes.computeIfAbsent(part.node(), k -> new ArrayList<>()).add(new Msg.Claim(s, part.token(), "REVOKED"));
        }
    }

    private void revoke(final NodeId from, final List<Msg.Claim> list) {
        final long term = tenure.term();
        net.ask(from, new Msg.Revoke(term, list), timing.m() + 500, r -> {
            if (tenure.term() != term || !ready) {
                return;
            }
            final Set<Integer> done = new HashSet<>();
            r.as(Msg.Revoked.class).ifPresent(v -> done.addAll(v.stopped()));
            for (final Msg.Claim c : list) {
                final Row row = rows.get(c.shard());
                if (plan.parts().get(c.shard()).token().equals(c.token())) {
                    row.free |= done.contains(c.shard());
                    row.asked = row.free;
                }
            }
        });
    }

    private void move(final Map<Integer, NodeId> moves) {
        write(plan.with(tenure.term(), moves, shards), moves);
    }

    private void write(final Plan next, final Map<Integer, NodeId> moves) {
        busy = true;
        final long term = tenure.term();
        final Ver old = ver;
        final String tag = "plan-" + term + "-" + next.epoch() + "-" + loop.now();
        writer.write(
                ItemId.PLAN,
                tag,
                1000,
                now -> now.ver().equals(old) ? Optional.of(now.next(Json.text(next), tag)) : Optional.empty(),
                r -> {
                    if (tenure.term() != term) {
                        return;
                    }
                    busy = false;
                    if (!r.ok()) {
                        ready = false;
                        return;
                    }
                    plan = next;
                    ver = r.item().ver();
                    moved = moves.isEmpty() ? moved : loop.now();
                    journal.add(Event.of(Code.PLAN_SET, "epoch", plan.epoch(), "term", term, "moves", moves.size()));
                    moves.forEach((s, n) -> rows.put(s, new Row()));
                    moves.values().stream().distinct().forEach(this::place);
                });
    }

    private void remind(final List<NodeId> able) {
        final Set<NodeId> slow = new HashSet<>();
        for (int s = 0; s < shards; s++) {
            final Row row = rows.get(s);
            final NodeId owner = plan.parts().get(s).node();
            if (!row.moving
                    && able.contains(owner)
                    && roster.silence(owner) < 600
                    && loop.now() - row.renewed > timing.d() / 2
                    && loop.now() - row.granted > 500) {
                slow.add(owner);
            }
        }
        slow.forEach(this::place);
    }

    private List<Msg.Claim> owned(final NodeId node) {
        final List<Msg.Claim> list = new ArrayList<>();
        for (int s = 0; s < plan.parts().size(); s++) {
            final Row row = rows.get(s);
            if (plan.parts().get(s).node().equals(node) && !row.moving && !row.free) {
                row.granted = loop.now();
                list.add(new Msg.Claim(s, plan.parts().get(s).token(), "GRANTED"));
            }
        }
        return list;
    }

    private void place(final NodeId node) {
        if (tenure.acting() && ready && !wary && met.contains(node)) {
            final List<Msg.Claim> list = owned(node);
            journal.add(Event.of(Code.GRANTED, "node", node.text(), "shards", list.size(), "epoch", plan.epoch()));
            net.ask(node, new Msg.Place(tenure.term(), plan.epoch(), list), 450, r -> {});
        }
    }

    /** Reconnect order: revokes, then fence acknowledgements, then the whole placement. */
    public void hello(final NodeId from, final Msg.Hello h, final Consumer<Msg> back) {
        final boolean mine = tenure.acting() && ready && h.term() == tenure.term();
        back.accept(new Msg.Welcome(mine, tenure.term()));
        if (!mine) {
            return;
        }
        final long term = tenure.term();
        h.claims().stream()
                .filter(c -> c.state().equals("REVOKED") && fits(from, c))
                .forEach(c -> rows.get(c.shard()).free = true);
        final List<Msg.Claim> stale = h.claims().stream()
                .filter(c -> !fits(from, c) && !c.state().equals("REVOKED"))
                .toList();
        final Runnable third = () -> {
            if (tenure.term() == term) {
                met.add(from);
                place(from);
            }
        };
        final Runnable second = () -> {
            final Set<Integer> due = acks.getOrDefault(from, Set.of());
            if (due.isEmpty()) {
                third.run();
            } else {
                net.ask(
                        from,
                        new Msg.FenceAck(term, List.copyOf(due)),
                        450,
                        r -> r.as(Msg.Ok.class).ifPresent(ok -> {
                            acks.remove(from);
                            third.run();
                        }));
            }
        };
        if (stale.isEmpty()) {
            second.run();
        } else {
            net.ask(
                    from,
                    new Msg.Revoke(term, stale),
                    timing.m() + 500,
                    r -> r.as(Msg.Revoked.class).ifPresent(ok -> second.run()));
        }
    }

    private boolean fits(final NodeId from, final Msg.Claim c) {
        if (wary || c.shard() >= plan.parts().size()) {
            return false;
        }
        final Plan.Part part = plan.parts().get(c.shard());
        return part.node().equals(from) && part.token().equals(c.token()) && !rows.get(c.shard()).free;
    }

    public void renew(final NodeId from, final Msg.Renew ask, final Consumer<Msg> back) {
        if (tenure.unsure() && ask.term() == tenure.term()) {
            back.accept(new Msg.Nay("tenure unsure"));
            return;
        }
        if (!tenure.acting() || !ready || ask.term() != tenure.term()) {
            back.accept(new Msg.Renewed(ask.term(), false, List.of(), List.of()));
            return;
        }
        shares.hear(from, ask);
        final List<Msg.Claim> good = new ArrayList<>();
        final List<Msg.Claim> stale = new ArrayList<>();
        for (final Msg.Claim c : ask.claims()) {
            if (!fits(from, c)) {
                stale.add(c);
            } else if (!rows.get(c.shard()).moving && sound.test(from)) {
                final Row row = rows.get(c.shard());
                row.granted = loop.now();
                row.renewed = loop.now();
                good.add(c);
            }
        }
        back.accept(new Msg.Renewed(tenure.term(), true, good, stale));
    }
}
