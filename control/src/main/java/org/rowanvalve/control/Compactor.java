package org.rowanvalve.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;

/** The acting store's duty: drops purges that no copy can be older than, and origins long gone. */
public final class Compactor {
    private static final long ROUND = 10_000;
    private static final long REST = 60_000;
    private static final int LEAST = 20;
    private final Loop loop;
    private final ItemStore held;
    private final Writer writer;
    private final BooleanSupplier acting;

    public Compactor(final Loop loop, final ItemStore held, final Writer writer, final BooleanSupplier acting) {
        this.loop = loop;
        this.held = held;
        this.writer = writer;
        this.acting = acting;
    }

    public void start() {
        loop.every(ROUND, this::round);
    }

    private long age(final Item i) {
        return loop.now() - held.since(i.id());
    }

    private void round() {
        if (!acting.getAsBoolean()) {
            return;
        }
        final List<Item> all = held.all().stream().map(Msg.Chosen::item).toList();
        final long life = all.stream()
                .filter(i -> i.id().kind() == Kind.ROUTE && i.live())
                .map(i -> Json.read(i.body(), Match.class))
                .filter(Match::purgeable)
                .mapToLong(Match::lifetimeMs)
                .max()
                .orElse(0);
        final Sweep was = held.sweep();
        final Sweep now = new Sweep(
                floor(all, Kind.PURGE, was.purges(), i -> age(i) > life + life / 4 + REST),
                floor(all, Kind.ORIGIN, was.origins(), this::gone));
        if (!now.equals(was)) {
            final String tag = "sweep-" + now.purges() + "-" + now.origins() + "-" + loop.now();
            writer.write(
                    Sweep.ID,
                    tag,
                    1000,
                    at -> {
                        final Sweep s = Sweep.of(at);
                        return Optional.of(at.next(
                                Json.text(Map.of(
                                        "purges",
                                        Math.max(s.purges(), now.purges()),
                                        "origins",
                                        Math.max(s.origins(), now.origins()))),
                                tag));
                    },
                    r -> {});
        }
    }

    private boolean gone(final Item i) {
        final Origin o = i.live() ? Json.read(i.body(), Origin.class) : null;
        final long ttl = o == null ? 0 : o.ttlMs();
        return (o == null || ttl > 0 || o.leaving()) && age(i) > ttl + ttl / 4 + REST;
    }

    /** The highest version under all that must stay; unchanged while too few would go. */
    private static long floor(final List<Item> all, final Kind kind, final long was, final Predicate<Item> old) {
        final List<Item> mine = all.stream().filter(i -> i.id().kind() == kind).toList();
        final long stay = mine.stream()
                .filter(old.negate())
                .mapToLong(i -> i.ver().n())
                .min()
                .orElse(Long.MAX_VALUE);
        final List<Item> go = mine.stream().filter(i -> i.ver().n() < stay).toList();
        return go.size() < LEAST
                ? was
                : go.stream().mapToLong(i -> i.ver().n()).max().orElse(was);
    }
}
