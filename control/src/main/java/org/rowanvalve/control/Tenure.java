package org.rowanvalve.control;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Timing;

/** Which store is the lease authority. Renewed each D/3, acted upon until t_send + D - M. */
public final class Tenure {
    /** More terms than a side whose memory was lost can have begun in two weeks. */
    public static final long LEAP = 1_000_000;

    private final NodeId self;
    private final String boot;
    private final Loop loop;
    private final Writer writer;
    private final ItemStore held;
    private final Timing timing;
    private final Journal journal;
    private final BooleanSupplier able;
    private final Won won;
    private final LongSupplier lives;
    private long until = Long.MIN_VALUE;
    private long term;
    private boolean busy;
    private boolean asking;
    private long serial;
    private boolean mine;
    private boolean quit;

    /** {@code last}: the last instant, on this clock, at which the old authority could have granted; {@code wary}: terms leapt. */
    @FunctionalInterface
    public interface Won {
        void won(long term, long last, boolean wary);
    }

    public Tenure(
            final NodeId self,
            final String boot,
            final Loop loop,
            final Writer writer,
            final ItemStore held,
            final Timing timing,
            final Journal journal,
            final BooleanSupplier able,
            final Won won,
            final LongSupplier lives) {
        this.lives = lives;
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
        loop.every(timing.reign() / 4, this::renew);
        loop.every(25, this::look);
    }

    public boolean acting() {
        return mine && loop.now() < until;
    }

    /** Still named, though its last renewal has run out: it does nothing, and goes on with its term if nobody took it. */
    public boolean unsure() {
        return mine && loop.now() >= until;
    }

    public long term() {
        return term;
    }

    private long valid(final long sent) {
        return sent + timing.reign() - timing.slack();
    }

    private void lose() {
        if (mine) {
            mine = false;
            until = Long.MIN_VALUE;
            journal.add(Event.of(Code.TENURE_LOST, "term", term));
        }
    }

    private void renew() {
        if (mine && !quit && !asking) {
            final long sent = loop.now();
            final long then = term;
            asking = true;
            put(false, term, timing.reign() - timing.slack(), r -> {
                asking = false;
                if (then != term) {
                    return;
                }
                if (r.ok() && mine) {
                    until = Math.max(until, valid(sent));
                } else if (r.fate() == Writer.Fate.CLASH) {
                    lose();
                }
            });
        }
    }

    private void put(
            final boolean free,
            final long next,
            final long span,
            final java.util.function.Consumer<Writer.Result> then) {
        final Item seen = held.get(ItemId.TENURE);
        final Leadership old = Leadership.of(seen);
        final boolean renewal = next == term;
        final String tag = self + "-" + boot + "-" + next + "-" + ++serial;
        writer.write(
                ItemId.TENURE,
                tag,
                span,
                now -> {
                    final Leadership b = Leadership.of(now);
                    final boolean same = renewal
                            ? b.term() == next && b.boot().equals(boot) && lives.getAsLong() <= b.lives()
                            : now.ver().equals(seen.ver());
                    return same
                            ? Optional.of(now.next(
                                    Json.text(new Leadership(
                                            self.text(),
                                            boot,
                                            next,
                                            b.beat() + 1,
                                            free,
                                            Math.max(b.lives(), lives.getAsLong()),
                                            timing.reign(),
                                            timing.slack())),
                                    tag))
                            : Optional.empty();
                },
                r -> {
                    then.accept(r);
                    if (r.ok() && next != old.term()) {
                        busy = false;
                    }
                });
    }

    private void look() {
        if (mine || busy || quit || !able.getAsBoolean()) {
            return;
        }
        final Item seen = held.get(ItemId.TENURE);
        final Leadership b = Leadership.of(seen);
        final long at = held.since(ItemId.TENURE);
        final long now = loop.now();
        final boolean own = b.holder().equals(self.text());
        final boolean open = seen.ver().n() == 0 || b.free();
        if (!open && !own && now - at < b.reign(timing) + 2 * b.slack(timing)) {
            return;
        }
        final long last = open ? Math.min(at, now) : own ? now : at + b.reign(timing) - b.slack(timing);
        take(seen, b, last);
    }

    private void take(final Item seen, final Leadership b, final long last) {
        busy = true;
        final long sent = loop.now();
        final boolean wary = lives.getAsLong() > b.lives();
        final long next = b.term() + (wary ? LEAP : 1);
        put(false, next, timing.reign() - timing.slack(), r -> {
            busy = false;
            if (r.ok()) {
                mine = true;
                term = next;
                until = valid(sent);
                journal.add(Event.of(
                        Code.TENURE_WON, "term", term, "after", seen.ver().n()));
                won.won(term, wary ? loop.now() : last, wary);
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
