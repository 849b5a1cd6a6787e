package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Msg;
import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.Match;

/** One request at an edge: the steps of its route, one by one until one answers, and what it shares with others. */
final class EdgeRequest {
    private final Edge edge;
    private final ClientRequest ask;
    private final ConfiguredRoute row;
    private final Consumer<Answer> then;
    private final String key;
    private final long cutoff;
    private final long margin;
    private final long began;
    private final ShieldForwarding forwarding;
    private Mark mark;
    private CacheFlight lead;
    private boolean over;

    EdgeRequest(final Edge edge, final ClientRequest ask, final ConfiguredRoute row, final Consumer<Answer> then) {
        this.edge = edge;
        this.ask = row.match().is(Match.CACHED) && ask.method().equals("GET") ? ask.shared() : ask;
        this.row = row;
        this.then = then;
        this.key = ShardRouting.slot(row, ask.path(), null);
        this.mark = edge.view().mark(row, ask.path());
        final boolean told = ask.spanMs() > 0;
        this.margin = told ? 20 : 300;
        this.began = now();
        this.cutoff = now() + (told ? Math.max(1, Math.min(ask.spanMs(), row.timeoutMs())) : row.timeoutMs() + 500);
        this.forwarding = new ShieldForwarding(edge, this);
    }

    private long now() {
        return edge.loop().now();
    }

    ClientRequest ask() {
        return ask;
    }

    ConfiguredRoute row() {
        return row;
    }

    Mark mark() {
        return mark;
    }

    boolean over() {
        return over;
    }

    long began() {
        return began;
    }

    long cutoff() {
        return cutoff;
    }

    /** What is kept of the time for the way back to the caller. */
    long margin() {
        return margin;
    }

    boolean is(final String mode) {
        return row.match().mode().equals(mode);
    }

    /** Whether it may be sent to origins at most once. */
    boolean once() {
        return is(Match.ONCE) || is(Match.SINGLE);
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
                forwarding.begin();
                yield true;
            }
        };
    }

    /** What needs no right to fill goes on where nothing newer can be known; copies that may have been purged do not. */
    private boolean stale() {
        if (row.match().any() && !is(Match.ONCE) && edge.way().alone()) {
            forwarding.pass(Answer.reject(503, "the frame is not confirmed", 500));
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

    private void give(final CachedCopy c, final String how) {
        final Map<String, String> heads = new TreeMap<>(c.heads());
        heads.put("Age", String.valueOf((now() - c.born()) / 1000));
        heads.put("Rv-Cache", how);
        end(Range.cut(new Answer(c.status(), Answer.DONE, heads, c.body()), ask.range()));
    }

    /** A flight serves whoever asks under its mark or an older one; a newer mark starts the next flight. */
    private boolean join() {
        final CacheFlight now = edge.flights().get(key);
        if (now != null && now.mark().covers(mark)) {
            if (now.full(1)) {
                return refuse(503, "too many wait for this object", 1000);
            }
            now.waiters().add(this);
            return true;
        }
        lead = new CacheFlight(mark, new ArrayList<>(List.of(this)));
        edge.flights().put(key, lead);
        return false;
    }

    private List<EdgeRequest> land() {
        edge.flights().remove(key, lead);
        return lead == null ? List.of(this) : lead.waiters();
    }

    /** Overtaken by a newer flight: all who waited for this one wait for that. */
    boolean handed() {
        final CacheFlight now = edge.flights().get(key);
        if (lead == null
                || now == null
                || now == lead
                || !now.mark().covers(edge.view().mark(row, ask.path()))
                || now.full(lead.waiters().size())) {
            return false;
        }
        now.waiters().addAll(lead.waiters());
        return true;
    }

    /** Asked again under the mark of now; the flight's mark goes with it. */
    void renew() {
        mark = edge.view().mark(row, ask.path());
        if (lead != null && !lead.mark().equals(mark) && edge.flights().get(key) == lead) {
            lead = new CacheFlight(mark, lead.waiters());
            edge.flights().put(key, lead);
        }
    }

    /** An origin's answer for all who wait; false where it was purged on its way and gives nothing to anybody. */
    boolean answered(final long sent, final Msg.Filled f) {
        if (!is(Match.CACHED) || f.mark() == null) {
            final Answer a = new Answer(f.status(), Answer.DONE, f.heads(), f.body());
            if (is(Match.CACHED)) {
                land().forEach(w -> w.end(Range.cut(a, w.ask.range())));
            } else {
                finish(a, false);
            }
            return true;
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
        final ConfiguredRoute now = edge.view().named(row.name()).orElse(null);
        final Mark want = now == null ? null : edge.view().mark(now, ask.path());
        if (want == null || !f.mark().covers(want) || !edge.view().clean(c.tags())) {
            return false;
        }
        if (f.status() == 200 && c.good(now(), want)) {
            edge.cache().put(key, c);
        }
        land().forEach(w -> w.give(c, "miss"));
        return true;
    }

    /** When no fill can be had, a copy just past its lifetime is better than none, as long as the frame is sure. */
    private CachedCopy spare() {
        return is(Match.CACHED) && (edge.fresh() || !row.match().purgeable())
                ? edge.cache()
                        .late(key, now(), edge.view().mark(row, ask.path()))
                        .orElse(null)
                : null;
    }

    /** {@code maybe}: an earlier way may have sent it, so that no refusal can promise that it has not run. */
    void finish(final Answer said, final boolean maybe) {
        final Answer a = maybe && once() && said.fate().equals(Answer.REFUSED)
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
