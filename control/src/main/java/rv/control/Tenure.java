package rv.control;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import rv.base.Code;
import rv.base.Event;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.NodeId;
import rv.base.Timing;

/** Which store is the lease authority. Renewed each D/3, acted upon until t_send + D - M. */
public final class Tenure {
    private final NodeId self;
    private final String boot;
    private final Loop loop;
    private final Writer writer;
    private final Held held;
    private final Timing timing;
    private final Journal journal;
    private final BooleanSupplier able;
    private final Won won;
    private long until = Long.MIN_VALUE;
    private long term;
    private boolean busy;
    private boolean mine;
    private boolean quit;

    public record Body(String holder, String boot, long term, long beat, boolean free) {
        public static Body of(final Item item) {
            return item.live() ? Json.read(item.body(), Body.class) : new Body("", "", 0, 0, true);
        }
    }

    /** {@code last}: the last instant, on this clock, at which the old authority could have granted. */
    @FunctionalInterface
    public interface Won {
        void won(long term, long last);
    }

    public Tenure(final NodeId self, final String boot, final Loop loop, final Writer writer, final Held held,
                  final Timing timing, final Journal journal, final BooleanSupplier able, final Won won) {
        this.self = self;
        this.boot = boot;
        this.loop = loop;
        this.writer = writer;
        this.held = held;
        this.timing = timing;
        this.journal = journal;
        this.able = able;
        this.won = won;
    }

    public void start() {
        loop.every(timing.renew(), this::renew);
        loop.every(25, this::look);
    }

    public boolean acting() {
        return mine && loop.now() < until;
    }

    public long term() {
        return term;
    }

    private void lose() {
        if (mine) {
            mine = false;
            until = Long.MIN_VALUE;
            journal.add(Event.of(Code.TENURE_LOST, "term", term));
        }
    }

    private void renew() {
        if (mine && !quit) {
            final long sent = loop.now();
            put(false, term, timing.renew(), r -> {
                if (r.ok() && mine) {
                    until = Math.max(until, timing.valid(sent));
                } else if (r.fate() == Writer.Fate.CLASH) {
                    lose();
                }
            });
        }
    }

    private void put(final boolean free, final long next, final long span, final java.util.function.Consumer<Writer.Result> then) {
        final Item seen = held.get(ItemId.TENURE);
        final Body old = Body.of(seen);
        final String tag = boot + "-" + next + "-" + loop.now();
        writer.write(ItemId.TENURE, tag, span, now -> {
            final Body b = Body.of(now);
            final boolean same = next == term ? b.term() == term && b.boot().equals(boot) : now.ver().equals(seen.ver());
            return same ? Optional.of(now.next(Json.text(new Body(self.text(), boot, next, b.beat() + 1, free)), tag))
                : Optional.empty();
        }, r -> {
            then.accept(r);
            if (r.ok() && next != old.term()) {
                busy = false;
            }
        });
    }

    private void look() {
        if (mine && loop.now() >= until) {
            lose();
        }
        if (mine || busy || quit || !able.getAsBoolean()) {
            return;
        }
        final Item seen = held.get(ItemId.TENURE);
        final Body b = Body.of(seen);
        final long at = held.since(ItemId.TENURE);
        final long now = loop.now();
        final boolean own = b.holder().equals(self.text()) && !b.boot().equals(boot);
        final boolean open = seen.ver().n() == 0 || b.free();
        if (!open && !own && now - at < timing.d() + 2 * timing.m()) {
            return;
        }
        final long last = open ? Math.min(at, now) : own ? now : at + timing.d() - timing.m();
        take(seen, b, last);
    }

    private void take(final Item seen, final Body b, final long last) {
        busy = true;
        final long sent = loop.now();
        final long next = b.term() + 1;
        put(false, next, timing.renew(), r -> {
            busy = false;
            if (r.ok()) {
                mine = true;
                term = next;
                until = timing.valid(sent);
                journal.add(Event.of(Code.TENURE_WON, "term", term, "after", seen.ver().n()));
                won.won(term, last);
            }
        });
    }

    /** Hands the tenure back so that the other store need not wait. */
    public void step(final Runnable then) {
        quit = true;
        if (!acting()) {
            then.run();
            return;
        }
        lose();
        put(true, term, 1500, r -> then.run());
    }

    public void drop() {
        lose();
    }
}
