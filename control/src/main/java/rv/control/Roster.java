package rv.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import rv.base.Code;
import rv.base.Condition;
import rv.base.Event;
import rv.base.Hash;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Member;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Role;
import rv.base.Timing;

/** Who is there: every node beats to the seeds, the seeds tell all they have heard. */
public final class Roster {
    private final Supplier<Member> self;
    private final List<NodeId> seeds;
    private final Loop loop;
    private final Net net;
    private final Timing timing;
    private final Journal journal;
    private final Consumer<Member> book;
    private final Drift drift;
    private final Pace pace;
    private final IntSupplier items;
    private final Stores stores;
    private boolean told;
    private final Map<NodeId, Member> all = new TreeMap<>();
    private final Map<NodeId, Long> heard = new HashMap<>();
    private final Map<NodeId, Long> first = new HashMap<>();

    public Roster(final Supplier<Member> self, final List<NodeId> seeds, final Loop loop, final Net net, final Timing timing,
                  final Journal journal, final Consumer<Member> book, final Drift drift, final IntSupplier items, final Stores stores) {
        this.stores = stores;
        this.items = items;
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.loop = loop;
        this.net = net;
        this.timing = timing;
        this.journal = journal;
        this.book = book;
        this.drift = drift;
        this.pace = new Pace(timing);
    }

    public void start() {
        loop.every(timing.beat(), this::round);
        loop.post(this::round);
    }

    private void round() {
        final Member me = self.get();
        note(me, loop.now());
        for (final NodeId s : seeds) {
            if (!s.equals(me.id())) {
                final long sent = loop.now();
                net.ask(s, new Msg.Beat(me, sent, items.getAsInt(), roll()), 450, r -> r.as(Msg.Beaten.class).ifPresentOrElse(b -> {
                    stores.alive(s);
                    drift.sample(s, sent, loop.now(), b.tick());
                    b.members().forEach(this::hear);
                }, () -> stores.missed(s, sent)));
            }
        }
        heard.forEach((id, at) -> {
            if (loop.now() - at > timing.lost() && first.remove(id) != null) {
                journal.add(Event.of(Code.MEMBER_LOST, "node", id.text()));
            }
        });
    }

    private void hear(final Msg.Heard h) {
        final Member m = h.member() != null ? h.member() : all.get(h.id());
        if (m != null && !m.id().equals(self.get().id()) && h.silence() <= timing.lost()) {
            note(m.with(h.condition()), loop.now() - h.silence());
        }
    }

    /** Two nodes with the same roll know the same members at the same addresses. */
    private long roll() {
        return live().stream().mapToLong(m -> Hash.mix(m.with(Condition.READY).toString())).reduce(0, (a, b) -> a ^ b);
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
        final boolean same = b.roll() == roll();
        back.accept(new Msg.Beaten(live().stream().map(m -> new Msg.Heard(m.id(), silence(m.id()), m.condition(), same ? null : m)).toList(),
            loop.now()));
    }

    private void note(final Member m, final long at) {
        if (at < heard.getOrDefault(m.id(), Long.MIN_VALUE)) {
            return;
        }
        final Member old = all.put(m.id(), m);
        heard.put(m.id(), at);
        if (first.putIfAbsent(m.id(), loop.now()) == null) {
            journal.add(Event.of(Code.MEMBER_SEEN, "node", m.id().text(), "role", m.role().word(), "cell", m.cell()));
        }
        if (old == null || !old.host().equals(m.host()) || old.port() != m.port()) {
            book.accept(m);
        }
    }

    public List<Member> live() {
        final List<Member> list = new ArrayList<>();
        all.forEach((id, m) -> {
            if (loop.now() - heard.get(id) <= timing.lost()) {
                list.add(m);
            }
        });
        return list;
    }

    public boolean lives(final NodeId id) {
        return heard.containsKey(id) && loop.now() - heard.get(id) <= timing.lost();
    }

    public long age(final NodeId id) {
        return loop.now() - first.getOrDefault(id, loop.now());
    }

    public long silence(final NodeId id) {
        return heard.containsKey(id) ? loop.now() - heard.get(id) : Long.MAX_VALUE;
    }

    public List<NodeId> ids() {
        return List.copyOf(all.keySet());
    }

    public Member get(final NodeId id) {
        return all.get(id);
    }

    public List<Member> live(final Role role) {
        return live().stream().filter(m -> m.role() == role).toList();
    }
}
