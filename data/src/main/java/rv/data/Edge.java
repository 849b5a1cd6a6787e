package rv.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import rv.base.Code;
import rv.base.Event;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Mark;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;
import rv.base.Token;
import rv.control.Match;
import rv.control.Plan;
import rv.control.View;

/** A request's way at an edge: the steps compiled for its route, run one by one until one answers. */
public final class Edge {
    private static final int ROOM = 2048;
    private static final int QUEUE = 512;
    private final Loop loop;
    private final Net net;
    private final View view;
    private final BooleanSupplier fresh;
    private final int shards;
    private final Journal journal;
    private final Cache cache;
    private final Predicate<NodeId> heard;
    private final Map<Integer, Token> high = new HashMap<>();
    private final Map<String, Flight> flights = new HashMap<>();
    private long serial;
    private int busy;
    private boolean shut;

    /** One pass to the holder for all who ask for an object under one mark. */
    private record Flight(Mark mark, List<Walk> queue) {
    }

    public Edge(final Loop loop, final Net net, final View view, final BooleanSupplier fresh, final int shards,
                final Journal journal, final long room, final Predicate<NodeId> heard) {
        this.heard = heard;
        this.loop = loop;
        this.net = net;
        this.view = view;
        this.fresh = fresh;
        this.shards = shards;
        this.journal = journal;
        this.cache = new Cache(room);
    }

    enum Step { FRAME, METHOD, SIZE, RULE, KEY, COPY, JOIN, SEND }

    static List<Step> compile(final View.Row row) {
        final List<Step> list = new ArrayList<>(List.of(Step.METHOD, Step.SIZE));
        if (row.rule().isPresent()) {
            list.add(Step.RULE);
        }
        if (row.match().purgeable()) {
            list.add(Step.FRAME);
        }
        switch (row.match().mode()) {
            case Match.CACHED -> list.addAll(List.of(Step.COPY, Step.JOIN));
            case Match.ONCE -> list.add(Step.KEY);
            default -> { }
        }
        list.add(Step.SEND);
        return list;
    }

    public void shut() {
        shut = true;
    }

    public int busy() {
        return busy;
    }

    public void take(final Ask ask, final Consumer<Answer> then) {
        if (shut) {
            then.accept(Answer.reject(503, "this node is leaving", 1000));
            return;
        }
        if (busy >= ROOM) {
            then.accept(Answer.reject(503, "too many requests wait here", 1000));
            return;
        }
        final View.Row row = view.route(ask.path()).orElse(null);
        if (row == null) {
            then.accept(fresh.getAsBoolean() ? Answer.reject(404, "no route takes this path", 0)
                : Answer.reject(503, "the frame is not confirmed", 1000));
            return;
        }
        if (!row.fit()) {
            then.accept(Answer.reject(503, "the route does not fit its service", 1000));
            return;
        }
        busy++;
        new Walk(ask, row, then).run();
    }

    private final class Walk {
        private final Ask ask;
        private final View.Row row;
        private final Consumer<Answer> then;
        private final String key;
        private Mark mark;
        private final long cutoff;
        private Flight lead;
        private int tries;

        Walk(final Ask ask, final View.Row row, final Consumer<Answer> then) {
            this.ask = ask;
            this.row = row;
            this.then = then;
            this.key = row.name() + "|" + ask.path();
            this.mark = view.mark(row, ask.path());
            this.cutoff = loop.now() + row.service().cutoffMs() + 500;
        }

        void run() {
            for (final Step s : compile(row)) {
                if (step(s)) {
                    return;
                }
            }
        }

        private void end(final Answer a) {
            busy--;
            then.accept(a);
        }

        private boolean reject(final int status, final String why, final long retry) {
            end(Answer.reject(status, why, retry));
            return true;
        }

        private boolean step(final Step s) {
            final boolean post = Match.ONCE.equals(row.match().mode());
            return switch (s) {
                case METHOD -> !ask.method().equals(post ? "POST" : "GET") && reject(405, "this route takes " + (post ? "POST" : "GET"), 0);
                case SIZE -> ask.body() != null && ask.body().length > row.service().bodyLimit() && reject(413, "body over the limit", 0);
                case RULE -> rule();
                case KEY -> (ask.key() == null || ask.key().isEmpty() || ask.key().length() > 128)
                    && reject(400, "header Rv-Key must be 1 to 128 characters", 0);
                case FRAME -> !fresh.getAsBoolean() && reject(503, "the frame is not confirmed", 1000);
                case COPY -> copy();
                case JOIN -> join();
                case SEND -> {
                    send();
                    yield true;
                }
            };
        }

        private boolean rule() {
            return switch (row.rule().orElseThrow().judge(ask.method(), ask.path(), ask.key(), ask.body() == null ? 0 : ask.body().length)) {
                case HOLDS -> false;
                case FAILS -> reject(403, "the route's condition does not hold", 0);
                case UNSURE -> reject(400, "the route's condition cannot judge this request", 0);
            };
        }

        private boolean copy() {
            final Copy c = cache.get(key, loop.now(), mark).orElse(null);
            if (c == null) {
                return false;
            }
            give(c, "hit");
            return true;
        }

        private void give(final Copy c, final String how) {
            final Map<String, String> heads = new TreeMap<>(c.heads());
            heads.put("Age", String.valueOf((loop.now() - c.born()) / 1000));
            heads.put("Rv-Cache", how);
            end(new Answer(c.status(), Answer.DONE, heads, c.body()));
        }

        /** A flight serves whoever asks under its mark or an older one; a newer mark starts the next flight. */
        private boolean join() {
            final Flight now = flights.get(key);
            if (now != null && now.mark().covers(mark)) {
                if (now.queue().size() >= QUEUE) {
                    return reject(503, "too many wait for this object", 1000);
                }
                now.queue().add(this);
                return true;
            }
            lead = new Flight(mark, new ArrayList<>(List.of(this)));
            flights.put(key, lead);
            return false;
        }

        private List<Walk> land() {
            if (lead == null) {
                return List.of(this);
            }
            flights.remove(key, lead);
            return lead.queue();
        }

        /** Overtaken by a newer flight: all who waited for this one wait for that. */
        private boolean handed() {
            final Flight now = flights.get(key);
            if (lead == null || now == null || now == lead || !now.mark().covers(view.mark(row, ask.path()))
                || now.queue().size() + lead.queue().size() > QUEUE) {
                return false;
            }
            now.queue().addAll(lead.queue());
            return true;
        }

        private void send() {
            final String name = Match.ONCE.equals(row.match().mode()) ? ask.key() : ask.path();
            final int shard = Plan.shard(row.name(), row.match().service(), name, shards);
            if (shard >= view.plan().parts().size()) {
                finish(Answer.reject(503, "no plan is known yet", 1000));
                return;
            }
            final Plan.Part part = view.plan().parts().get(shard);
            raise(shard, part.token());
            if (!heard.test(part.node())) {
                finish(Answer.reject(503, "the holder is not heard of", 1000));
                return;
            }
            tries++;
            renew();
            final long sent = loop.now();
            final long span = Math.max(100, cutoff - sent - 300);
            net.ask(part.node(), new Msg.Fill(++serial, row.name(), ask.method(), ask.path(), shard, high.get(shard), mark,
                ask.key(), ask.body(), ask.type(), span), Math.max(100, cutoff - sent), r -> back(shard, sent, r));
        }

        /** Asked again under the mark of now; the flight's mark goes with it. */
        private void renew() {
            mark = view.mark(row, ask.path());
            if (lead != null && !lead.mark().equals(mark) && flights.get(key) == lead) {
                lead = new Flight(mark, lead.queue());
                flights.put(key, lead);
            }
        }

        private void raise(final int shard, final Token t) {
            high.merge(shard, t, (a, b) -> a.below(b) ? b : a);
        }

        private void back(final int shard, final long sent, final Reply r) {
            final Msg.Filled f = r.as(Msg.Filled.class).orElse(null);
            if (f == null) {
                if (r.trouble() == Reply.Trouble.NOT_SENT) {
                    again(Answer.reject(503, "the holder cannot be reached", 1000));
                } else {
                    finish(Answer.unsure("the holder did not answer"));
                }
                return;
            }
            if (f.fate().equals(Answer.REFUSED)) {
                final Answer a = Answer.reject(f.status(), f.why(), f.retryMs());
                if (f.status() == 503 && f.retryMs() <= 500) {
                    again(a);
                } else {
                    finish(a);
                }
                return;
            }
            if (f.token().below(high.get(shard))) {
                journal.add(Event.of(Code.TOKEN_LOW, "shard", shard, "token", f.token().toString(), "known", high.get(shard).toString()));
                if (Match.ONCE.equals(row.match().mode())) {
                    finish(Answer.unsure("the answer came from an earlier holder"));
                } else {
                    again(Answer.reject(503, "the answer came from an earlier holder", 500));
                }
                return;
            }
            raise(shard, f.token());
            if (f.fate().equals(Answer.UNKNOWN)) {
                finish(Answer.unsure(f.why()));
            } else {
                done(sent, f);
            }
        }

        private void done(final long sent, final Msg.Filled f) {
            if (!Match.CACHED.equals(row.match().mode())) {
                finish(new Answer(f.status(), Answer.DONE, f.heads(), f.body()));
                return;
            }
            final Copy c = new Copy(f.status(), f.heads(), f.body(), sent - f.age(), row.match().lifetimeMs(), f.mark());
            final View.Row now = view.named(row.name()).orElse(null);
            final Mark want = now == null ? null : view.mark(now, ask.path());
            if (want == null || !f.mark().covers(want)) {
                again(Answer.reject(503, "purged while it was filled", 500));
                return;
            }
            if (f.status() == 200 && c.good(loop.now(), want)) {
                cache.put(key, c);
            }
            land().forEach(w -> w.give(c, "miss"));
        }

        /** A refusal that a fresher plan may cure is tried again soon, at most twice. */
        private void again(final Answer last) {
            if (handed()) {
                return;
            }
            final long rest = 60L * tries;
            if (tries >= 3 || loop.now() + rest + 200 >= cutoff) {
                finish(last);
            } else {
                loop.after(rest, this::send);
            }
        }

        /** When no fill can be had, a copy just past its lifetime is better than none, as long as the frame is sure. */
        private Copy spare() {
            return Match.CACHED.equals(row.match().mode()) && (fresh.getAsBoolean() || !row.match().purgeable())
                ? cache.late(key, loop.now(), view.mark(row, ask.path())).orElse(null) : null;
        }

        private void finish(final Answer a) {
            final List<Walk> all = land();
            final Copy old = spare();
            all.forEach(w -> {
                if (old == null) {
                    w.end(a);
                } else {
                    w.give(old, "late");
                }
            });
        }
    }
}
