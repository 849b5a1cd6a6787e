package org.rowanvalve.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;

/** Who is there: every node sends heartbeats to the voters, the voters tell all they have heard. */
public final class Membership {
    /** Shields beside the seeds that are beaten to as well, so that their silence is seen at first hand. */
    private static final int OTHERS = 3;

    private static final int FEW = 8;
    private static final long UNHEARD = 1000;
    private final Supplier<Member> self;
    private final Supplier<List<NodeId>> voters;
    private final Loop loop;
    private final Net net;
    private final Timing timing;
    private final Journal journal;
    private final Consumer<Member> book;
    private final Drift drift;
    private final Pace pace;
    private final IntSupplier items;
    private final StoreHealth stores;
    private boolean told;
    private Member own;
    private long answered = Long.MIN_VALUE / 2;
    private final MemberList members;
    private final Map<NodeId, SeedView> views = new HashMap<>();

    public Membership(
            final Supplier<Member> self,
            final Supplier<List<NodeId>> voters,
            final Loop loop,
            final Net net,
            final Timing timing,
            final Journal journal,
            final Consumer<Member> book,
            final Drift drift,
            final IntSupplier items,
            final StoreHealth stores) {
        this.stores = stores;
        this.items = items;
        this.self = self;
        this.voters = voters;
        this.loop = loop;
        this.net = net;
        this.timing = timing;
        this.journal = journal;
        this.book = book;
        this.drift = drift;
        this.pace = new Pace(timing);
        this.members = new MemberList(timing.lost());
    }

    public void start() {
        loop.every(timing.beat(), this::round);
        loop.post(this::round);
    }

    /** Tells the voters of a change in this node at once. */
    public void announce() {
        round();
    }

    /** Whether a voter has answered a heartbeat of late. */
    public boolean answered() {
        return loop.now() - answered <= UNHEARD;
    }

    private void round() {
        final Member me = self.get();
        note(me, loop.now());
        voters.get().stream().filter(s -> !s.equals(me.id())).forEach(s -> ask(s, me));
        others().stream().filter(s -> !s.equals(me.id())).forEach(s -> ask(s, me));
        members.gone(loop.now()).forEach(id -> journal.add(Event.of(Code.MEMBER_LOST, "node", id.text())));
    }

    /** Where shields are many, they are beaten to only while no seed answers, and not all nodes choose the same. */
    private List<NodeId> others() {
        final List<NodeId> list = live(Role.SHIELD).stream()
                .map(Member::id)
                .filter(n -> !voters.get().contains(n))
                .toList();
        if (list.size() <= FEW) {
            return list.stream().limit(OTHERS).toList();
        }
        return answered()
                ? List.of()
                : list.stream()
                        .sorted(Comparator.comparingLong(n -> Hash.mix(own().id() + "/" + n)))
                        .limit(OTHERS)
                        .toList();
    }

    /** The roll is for a seed that has not answered with its list yet. */
    private void ask(final NodeId s, final Member me) {
        final long sent = loop.now();
        final SeedView view = views.computeIfAbsent(s, k -> new SeedView());
        final long roll = view.list().isEmpty() ? roll() : 0;
        net.ask(
                s,
                new Msg.Beat(me, sent, items.getAsInt(), roll, view.list(), view.last()),
                450,
                r -> r.as(Msg.Beaten.class)
                        .ifPresentOrElse(
                                b -> {
                                    stores.alive(s);
                                    answered = voters.get().contains(s) ? loop.now() : answered;
                                    drift.sample(s, sent, loop.now(), b.tick());
                                    if (b.list() != null) {
                                        view.take(b, this::hear);
                                    } else {
                                        b.members().forEach(this::hear);
                                    }
                                },
                                () -> stores.missed(s, sent)));
    }

    /** What of this node never changes in its life. */
    private Member own() {
        own = own == null ? self.get() : own;
        return own;
    }

    private void hear(final Member m, final long silence) {
        if (silence <= timing.lost() && !m.id().equals(own().id())) {
            note(m, loop.now() - silence);
        }
    }

    private void hear(final Msg.Heard h) {
        final Member m = h.member() != null ? h.member() : get(h.id());
        if (m != null) {
            hear(m.with(h.condition()), h.silence());
        }
    }

    /** Two nodes with the same roll know the same members at the same addresses. */
    private long roll() {
        return live().stream()
                .mapToLong(m -> Hash.mix(m.with(Condition.READY).toString()))
                .reduce(0, (a, b) -> a ^ b);
    }

    /** Whether any node has said that it holds items. */
    public boolean told() {
        return told || items.getAsInt() > 0;
    }

    public boolean sound(final NodeId id) {
        return pace.proved(id) < timing.m() / 2;
    }

    public void beat(final Msg.Beat b, final Consumer<Msg> back) {
        pace.hear(b.self().id(), loop.now(), b.tick());
        note(b.self(), loop.now());
        told |= b.seen() > 0;
        final long now = loop.now();
        if (b.list() != null) {
            final String list = own().boot();
            final List<Msg.Listed> changed = members.since(b.list().equals(list) ? b.since() : 0, now);
            back.accept(
                    new Msg.Beaten(null, now, list, members.last(), changed, members.silences(now), members.late(now)));
            return;
        }
        final boolean same = b.roll() == roll();
        back.accept(new Msg.Beaten(
                live().stream()
                        .map(m -> new Msg.Heard(m.id(), silence(m.id()), m.condition(), same ? null : m))
                        .toList(),
                now,
                null,
                0,
                null,
                null,
                null));
    }

    private void note(final Member m, final long at) {
        final MemberList.Noted n = members.note(m, at, loop.now());
        if (n.seen()) {
            journal.add(Event.of(
                    Code.MEMBER_SEEN, "node", m.id().text(), "role", m.role().word(), "cell", m.cell()));
        }
        if (n.moved()) {
            book.accept(m);
        }
    }

    public List<Member> live() {
        final long now = loop.now();
        return members.all().stream()
                .filter(r -> members.live(r, now))
                .map(MemberList.Row::member)
                .toList();
    }

    /** Something was just heard from it. */
    public void alive(final NodeId id) {
        members.alive(id, loop.now());
    }

    /** How many of a role were ever heard of. */
    public int known(final Role role) {
        return (int)
                members.all().stream().filter(r -> r.member().role() == role).count();
    }

    public boolean lives(final NodeId id) {
        return members.live(members.get(id), loop.now());
    }

    public long age(final NodeId id) {
        return members.age(id, loop.now());
    }

    public long silence(final NodeId id) {
        final MemberList.Row r = members.get(id);
        return r == null ? Long.MAX_VALUE : loop.now() - r.heard();
    }

    public List<NodeId> ids() {
        return members.all().stream().map(r -> r.member().id()).toList();
    }

    public Member get(final NodeId id) {
        final MemberList.Row r = members.get(id);
        return r == null ? null : r.member();
    }

    public List<Member> live(final Role role) {
        return live().stream().filter(m -> m.role() == role).toList();
    }
}
