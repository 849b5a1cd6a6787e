package rv.data;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import rv.base.Code;
import rv.base.Event;
import rv.base.Mark;
import rv.base.Msg;
import rv.base.NodeId;
import rv.base.Reply;
import rv.control.ConfigView;
import rv.control.Match;
import rv.control.Plan;

/** One request on its way through an edge. */
final class EdgeRequest {
    private static final long SILENT = 650;
    private static final long LOOK = 100;
    /** The part of its time for which a keyed request is kept while nobody may send it. */
    private static final double PATIENCE = 0.4;

    private final Edge edge;
    private final ClientRequest ask;
    private final ConfigView.Row row;
    private final Consumer<Answer> then;
    private final String key;
    private final long cutoff;
    private final long margin;
    private final long began;
    private final Set<NodeId> asked = new HashSet<>();
    private Mark mark;
    private Edge.Flight lead;
    private int tries;
    private int open;
    private boolean over;
    private boolean bare;
    private boolean maybe;

    EdgeRequest(final Edge edge, final ClientRequest ask, final ConfigView.Row row, final Consumer<Answer> then) {
        this.edge = edge;
        this.ask = row.match().is(Match.CACHED) && ask.method().equals("GET") ? ask.shared() : ask;
        this.row = row;
        this.then = then;
        this.key = EdgeRouting.slot(row, ask.path(), null);
        this.mark = edge.view().mark(row, ask.path());
        final boolean told = ask.spanMs() > 0;
        this.margin = told ? 20 : 300;
        this.began = now();
        this.cutoff = now() + (told ? Math.max(1, Math.min(ask.spanMs(), row.timeoutMs())) : row.timeoutMs() + 500);
    }

    private long now() {
        return edge.loop().now();
    }

    private boolean is(final String mode) {
        return row.match().mode().equals(mode);
    }

    void run() {
        for (final Edge.Step s : Edge.compile(row)) {
            if (step(s)) {
                return;
            }
        }
    }

    private boolean refuse(final int status, final String why, final long retry) {
        end(Answer.reject(status, why, retry));
        return true;
    }

    private void end(final Answer a) {
        if (!over) {
            over = true;
            then.accept(a);
        }
    }

    private boolean step(final Edge.Step s) {
        final boolean post = is(Match.ONCE);
        return switch (s) {
            case METHOD ->
                !row.match().any()
                        && !ask.method().equals(post ? "POST" : "GET")
                        && refuse(405, "this route takes " + (post ? "POST" : "GET"), 0);
            case SIZE ->
                ask.body() != null
                        && ask.body().length > row.service().bodyLimit()
                        && refuse(413, "body over the limit", 0);
            case RULE -> rule();
            case KEY ->
                (ask.key() == null || ask.key().isEmpty() || ask.key().length() > 128)
                        && refuse(400, "header Rv-Key must be 1 to 128 characters", 0);
            case FRAME -> !edge.fresh() && stale();
            case COPY -> ask.method().equals("GET") && copy();
            case JOIN -> ask.method().equals("GET") && join();
            case SEND -> {
                send();
                yield true;
            }
        };
    }

    /** What needs no right to fill goes on where nothing newer can be known; copies that may have been purged do not. */
    private boolean stale() {
        if (row.match().any() && !is(Match.ONCE) && edge.way().alone()) {
            pass(Answer.reject(503, "the frame is not confirmed", 500));
            return true;
        }
        return row.match().any() && is(Match.ONCE) ? false : refuse(503, "the frame is not confirmed", 1000);
    }

    private boolean rule() {
        return switch (row.rule()
                .orElseThrow()
                .judge(ask.method(), ask.path(), ask.key(), ask.body() == null ? 0 : ask.body().length)) {
            case HOLDS -> false;
            case FAILS -> refuse(403, "the route's condition does not hold", 0);
            case UNSURE -> refuse(400, "the route's condition cannot judge this request", 0);
        };
    }

    private boolean copy() {
        final Optional<CachedCopy> c = edge.cache().get(key, now(), mark).filter(x -> x.of(row.match()));
        c.ifPresent(x -> give(x, "hit"));
        return c.isPresent();
    }

    void give(final CachedCopy c, final String how) {
        final Map<String, String> heads = new TreeMap<>(c.heads());
        heads.put("Age", String.valueOf((now() - c.born()) / 1000));
        heads.put("Rv-Cache", how);
        end(Range.cut(new Answer(c.status(), Answer.DONE, heads, c.body()), ask.range()));
    }

    /** A flight serves whoever asks under its mark or an older one; a newer mark starts the next flight. */
    private boolean join() {
        final Edge.Flight now = edge.flights().get(key);
        if (now != null && now.mark().covers(mark)) {
            if (now.queue().size() >= Edge.QUEUE) {
                return refuse(503, "too many wait for this object", 1000);
            }
            now.queue().add(this);
            return true;
        }
        lead = new Edge.Flight(mark, new ArrayList<>(List.of(this)));
        edge.flights().put(key, lead);
        return false;
    }

    private List<EdgeRequest> land() {
        edge.flights().remove(key, lead);
        return lead == null ? List.of(this) : lead.queue();
    }

    /** Overtaken by a newer flight: all who waited for this one wait for that. */
    private boolean handed() {
        final Edge.Flight now = edge.flights().get(key);
        if (lead == null
                || now == null
                || now == lead
                || !now.mark().covers(edge.view().mark(row, ask.path()))
                || now.queue().size() + lead.queue().size() > Edge.QUEUE) {
            return false;
        }
        now.queue().addAll(lead.queue());
        return true;
    }

    private void send() {
        if (row.match().any()
                && !is(Match.ONCE)
                && !(is(Match.CACHED) && ask.method().equals("GET"))) {
            pass(Answer.reject(503, "no shield is heard of", 300));
            return;
        }
        final int shard = EdgeRouting.shard(
                row,
                ask.path(),
                ask.key(),
                edge.shards(),
                edge.way().places(),
                edge.way().place());
        if (shard >= edge.view().plan().parts().size()) {
            lost(Answer.reject(503, "no plan is known yet", 500));
            return;
        }
        final Plan.Part part = edge.view().plan().parts().get(shard);
        edge.raise(shard, part.token());
        if (!edge.way().heard(part.node()) || row.match().any() && edge.way().silent(part.node()) > SILENT) {
            lost(Answer.reject(503, "the holder is not heard of", 1000));
            return;
        }
        tries++;
        renew();
        final long sent = now();
        edge.net().ask(part.node(), fill(shard, false, sent), Math.max(100, cutoff - sent), r -> back(shard, sent, r));
        if (row.match().any() && is(Match.CACHED)) {
            final int mine = tries;
            watch(part.node(), sent, () -> bare || tries != mine);
        }
    }

    private Msg.Fill fill(final int shard, final boolean loose, final long sent) {
        return new Msg.Fill(
                edge.next(),
                row.name(),
                ask.method(),
                ask.host(),
                ask.path(),
                shard,
                shard < 0 ? null : edge.high(shard),
                loose ? null : mark,
                ask.key(),
                ask.body(),
                ask.type(),
                Math.max(margin > 100 ? 100 : 1, cutoff - sent - margin),
                ask.id(),
                loose,
                loose && tries > 1,
                ask.heads());
    }

    /** Where a shield falls silent, another passes a read through while there is time; the first answer counts. */
    private void watch(final NodeId at, final long sent, final BooleanSupplier over) {
        edge.loop().after(LOOK, () -> {
            if (this.over || over.getAsBoolean() || is(Match.SINGLE) || now() + LOOK >= cutoff) {
                return;
            }
            if (edge.way().silent(at) > SILENT && now() - sent > 2 * LOOK) {
                pass(Answer.reject(503, "the shield is silent", 100));
            } else {
                watch(at, sent, over);
            }
        });
    }

    /** By any shield: for what needs no right to fill, or when nobody has the right. */
    private void pass(final Answer none) {
        bare = true;
        final NodeId to = edge.way().near().stream()
                .filter(n -> !asked.contains(n) && edge.way().silent(n) <= SILENT)
                .findFirst()
                .orElse(null);
        if (to == null || now() + margin >= cutoff) {
            if (to == null && !maybe && open == 0 && edge.way().direct() != null && now() + margin < cutoff) {
                direct(none);
            } else if (open == 0 || to == null && !is(Match.SINGLE)) {
                finish(none);
            }
            return;
        }
        asked.add(to);
        tries++;
        open++;
        final long sent = now();
        final boolean[] heard = {false};
        edge.net().ask(to, fill(-1, true, sent), Math.max(50, cutoff - sent), r -> {
            open--;
            heard[0] = true;
            passed(r);
        });
        watch(to, sent, () -> heard[0]);
    }

    /** No shield is heard of at all: a read goes to an origin from here, within the small part of the ceiling that is for this. */
    private void direct(final Answer none) {
        final String to = row.match().pick(rv.base.Hash.mix(ask.id().isEmpty() ? ask.path() + edge.next() : ask.id()));
        final OriginRequest order = new OriginRequest(
                OriginRequest.NONE,
                new Port.Send(
                        to, ask.method(), ask.path(), ask.id(), ask.key(), ask.body(), ask.type(), 0, ask.heads()),
                is(Match.SINGLE),
                cutoff - margin,
                row.match().rank(),
                row.match().tries(),
                false);
        edge.way().direct().send(order, sent -> {
            if (sent.got().end() == Port.End.WHOLE) {
                done(
                        now(),
                        new Msg.Filled(
                                Answer.DONE,
                                "",
                                sent.got().status(),
                                null,
                                Shield.pass(sent.got().heads()),
                                sent.got().body(),
                                0,
                                null,
                                0));
            } else {
                maybe |= sent.ran();
                finish(sent.ran() ? Answer.unsure(sent.got().why()) : none);
            }
        });
    }

    private void passed(final Reply r) {
        if (over) {
            return;
        }
        final Msg.Filled f = r.as(Msg.Filled.class).orElse(null);
        maybe |= f == null && r.trouble() != Reply.Trouble.NOT_SENT
                || f != null && f.fate().equals(Answer.UNKNOWN);
        if (f == null) {
            if (r.trouble() == Reply.Trouble.NOT_SENT || !is(Match.SINGLE)) {
                tries -= r.trouble() == Reply.Trouble.NOT_SENT ? 1 : 0;
                pass(
                        r.trouble() == Reply.Trouble.NOT_SENT
                                ? Answer.reject(503, "no shield can be reached", 300)
                                : Answer.unsure("no shield answered"));
            } else {
                finish(Answer.unsure("the shield did not answer"));
            }
        } else if (f.fate().equals(Answer.DONE)) {
            done(now(), f);
        } else if (f.fate().equals(Answer.REFUSED) && f.status() == 503 && f.retryMs() == 500 && asked.size() < 3) {
            tries--;
            pass(Answer.reject(f.status(), f.why(), f.retryMs()));
        } else if (open == 0) {
            finish(
                    f.fate().equals(Answer.REFUSED)
                            ? Answer.reject(f.status(), f.why(), f.retryMs())
                            : Answer.unsure(f.why()));
        }
    }

    /** No holder to ask: a read is passed through where its route allows it. */
    private void lost(final Answer none) {
        if (!bare && row.match().any() && is(Match.CACHED)) {
            pass(none);
        } else if (row.match().any() && is(Match.ONCE)) {
            again(none);
        } else {
            finish(none);
        }
    }

    /** Asked again under the mark of now; the flight's mark goes with it. */
    private void renew() {
        mark = edge.view().mark(row, ask.path());
        if (lead != null && !lead.mark().equals(mark) && edge.flights().get(key) == lead) {
            lead = new Edge.Flight(mark, lead.queue());
            edge.flights().put(key, lead);
        }
    }

    private void back(final int shard, final long sent, final Reply r) {
        if (over) {
            return;
        }
        final Msg.Filled f = r.as(Msg.Filled.class).orElse(null);
        maybe |= f == null && r.trouble() != Reply.Trouble.NOT_SENT
                || f != null && f.fate().equals(Answer.UNKNOWN);
        if (f == null) {
            if (r.trouble() == Reply.Trouble.NOT_SENT) {
                again(Answer.reject(503, "the holder cannot be reached", 1000));
            } else if (row.match().any() && is(Match.CACHED)) {
                lost(Answer.unsure("the holder did not answer"));
            } else if (row.match().any()) {
                again(Answer.unsure("the holder did not answer"));
            } else {
                finish(Answer.unsure("the holder did not answer"));
            }
            return;
        }
        if (f.fate().equals(Answer.REFUSED)) {
            final Answer a = Answer.reject(f.status(), f.why(), f.retryMs());
            if (f.status() == 503 && f.retryMs() <= 500) {
                again(a);
            } else if (f.status() == 503 && !f.why().equals("every origin is busy")) {
                lost(a);
            } else {
                finish(a);
            }
            return;
        }
        if (f.token().below(edge.high(shard))) {
            edge.journal()
                    .add(Event.of(
                            Code.TOKEN_LOW,
                            "shard",
                            shard,
                            "token",
                            f.token().toString(),
                            "known",
                            edge.high(shard).toString()));
            if (is(Match.ONCE)) {
                finish(Answer.unsure("the answer came from an earlier holder"));
            } else {
                again(Answer.reject(503, "the answer came from an earlier holder", 500));
            }
            return;
        }
        edge.raise(shard, f.token());
        if (f.fate().equals(Answer.UNKNOWN)) {
            finish(Answer.unsure(f.why()));
        } else {
            done(sent, f);
        }
    }

    private void done(final long sent, final Msg.Filled f) {
        if (!is(Match.CACHED) || f.mark() == null) {
            final Answer a = new Answer(f.status(), Answer.DONE, f.heads(), f.body());
            if (is(Match.CACHED)) {
                land().forEach(w -> w.end(Range.cut(a, w.ask.range())));
            } else {
                finish(a);
            }
            return;
        }
        final CachedCopy c = new CachedCopy(
                f.status(),
                f.heads(),
                f.body(),
                sent - f.age(),
                row.match().lifetimeMs(),
                CachedCopy.bare(f.mark()),
                CachedCopy.tags(f.mark()),
                f.service());
        final ConfigView.Row now = edge.view().named(row.name()).orElse(null);
        final Mark want = now == null ? null : edge.view().mark(now, ask.path());
        if (want == null || !f.mark().covers(want) || !edge.view().clean(c.tags())) {
            again(Answer.reject(503, "purged while it was filled", 500));
            return;
        }
        if (f.status() == 200 && c.good(now(), want)) {
            edge.cache().put(key, c);
        }
        land().forEach(w -> w.give(c, "miss"));
    }

    /** A refusal that a fresher plan may cure is tried again soon, at most twice; keyed ones while there is time. */
    private void again(final Answer last) {
        if (over || handed()) {
            return;
        }
        final boolean keyed = row.match().any() && is(Match.ONCE) && now() - began < (cutoff - began) * PATIENCE;
        final long rest = 60L * Math.max(1, Math.min(4, tries));
        if (tries >= 3 && !keyed || now() + rest + 200 >= cutoff) {
            if (row.match().any() && is(Match.CACHED) && !bare) {
                pass(last);
            } else {
                finish(last);
            }
        } else {
            edge.loop().after(rest, this::send);
        }
    }

    /** When no fill can be had, a copy just past its lifetime is better than none, as long as the frame is sure. */
    private CachedCopy spare() {
        return is(Match.CACHED) && (edge.fresh() || !row.match().purgeable())
                ? edge.cache()
                        .late(key, now(), edge.view().mark(row, ask.path()))
                        .orElse(null)
                : null;
    }

    /** Where an earlier way may have sent it, no refusal can promise that it has not run. */
    private void finish(final Answer said) {
        final boolean once = is(Match.ONCE) || is(Match.SINGLE);
        final Answer a = maybe && once && said.fate().equals(Answer.REFUSED)
                ? Answer.unsure("an earlier way may have sent it")
                : said;
        final List<EdgeRequest> all = land();
        final CachedCopy old = a.fate().equals(Answer.DONE) ? null : spare();
        all.forEach(w -> {
            if (old == null) {
                w.end(a);
            } else {
                w.give(old, "late");
            }
        });
    }
}
