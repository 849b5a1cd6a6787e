package org.rowanvalve.testkit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.rowanvalve.testkit.Script.Step;

/** Scripts from seeds: whole days, and two troubles on top of each other. */
public final class DayDraw {
    /** One trouble in so many comes again. */
    private static final int AGAIN = 6;

    private DayDraw() {}

    /** A day from a seed: one trouble after another, some on top of each other, a closing fault. */
    public static Script day(final Place place, final long seed, final int count, final long gap) {
        return place.shieldRun() ? shieldDay(place, seed, count, gap) : storeDay(place, seed, count, gap);
    }

    /** Any trouble at any moment, some twice, some on top of each other; the player lets them wait their turn. */
    private static Script shieldDay(final Place place, final long seed, final int count, final long gap) {
        final Random random = new Random(seed * 31 + 7);
        final List<Step> steps = new ArrayList<>();
        long at = 2000;
        for (int i = 0; i < count; i++) {
            final String what = drawn(place, (seed - 1) * count + i);
            steps.add(TroubleDraw.draw(place, random, what, at));
            if (random.nextInt(AGAIN) == 0) {
                at += random.nextInt((int) gap);
                steps.add(TroubleDraw.draw(place, random, what, at));
            }
            at += random.nextInt(3) == 0 ? random.nextInt(400) : gap / 2 + random.nextInt((int) gap);
        }
        return new Script("day-" + seed, place, at / 1000, steps, TroubleDraw.closing(place, random, seed));
    }

    private static Script storeDay(final Place place, final long seed, final int count, final long gap) {
        final Random dice = new Random(seed * 31 + 7);
        final List<Step> steps = new ArrayList<>();
        long at = 2000;
        for (int i = 0; i < count; i++) {
            final String what = drawn(place, (seed - 1) * count + i);
            final long gone = last(steps);
            if (Set.of("lose-disk", "blackout", "ack-lose").contains(what) && at < gone) {
                at = gone;
            }
            steps.add(TroubleDraw.draw(place, dice, what, at));
            at += dice.nextInt(4) == 0 ? 500 : gap + dice.nextInt((int) gap);
        }
        final long close = Math.max(at, last(steps));
        steps.add(
                seed % 2 == 0
                        ? new Step(close, "power", List.of("all"), 3000, 0)
                        : new Step(close, "blackout", List.of(TroubleDraw.disk(place, dice)), 3000, 0));
        steps.sort(Comparator.comparingLong(Step::at));
        return new Script("day-" + seed, place, (close + 26_000) / 1000, steps);
    }

    /** Every two troubles, also one twice. */
    public static List<List<String>> pairs(final Place place) {
        final List<String> all = Script.troubles(place).stream().sorted().toList();
        final List<List<String>> list = new ArrayList<>();
        all.forEach(a -> all.stream().filter(b -> a.compareTo(b) <= 0).forEach(b -> list.add(List.of(a, b))));
        return list;
    }

    /** The second trouble comes within a second and a half of the first. Two that touch stores touch the same one: a lost disk at a time. */
    public static Script pair(final Place place, final List<String> two, final long seed) {
        final Random dice = new Random(seed * 131 + two.hashCode());
        final Step a = TroubleDraw.draw(place, dice, two.get(0), 2000);
        final Step b = TroubleDraw.draw(place, dice, two.get(1), 2000 + dice.nextInt(1500));
        final boolean flip = dice.nextBoolean();
        final String store = TroubleDraw.disk(place, dice);
        final List<Step> steps = java.util.stream.Stream.of(flip ? b.at(2000) : a, flip ? a.at(b.at()) : b)
                .map(s -> Script.ORIGINS.contains(s.trouble()) || s.who().isEmpty()
                        ? s
                        : new Step(
                                s.at(),
                                s.trouble(),
                                s.who().stream()
                                        .map(w -> place.disks().contains(w) || w.equals("authority") ? store : w)
                                        .distinct()
                                        .toList(),
                                s.ms(),
                                s.size(),
                                s.how()))
                .toList();
        final long end = steps.stream().mapToLong(s -> s.at() + s.ms()).max().orElse(0);
        return new Script(two.get(0) + "+" + two.get(1), place, (end + 17_000) / 1000, steps);
    }

    /** Troubles come off a shuffled pack, so that few days in a row hold every one of them. */
    private static String drawn(final Place place, final long n) {
        final List<String> pack =
                new ArrayList<>(Script.troubles(place).stream().sorted().toList());
        Collections.shuffle(pack, new Random(n / pack.size() * 31 + 5));
        return pack.get((int) (n % pack.size()));
    }

    /** One lost disk at a time is what must be survived: the next waits until the last is rebuilt. */
    private static long last(final List<Step> steps) {
        return steps.stream()
                .filter(s -> Set.of(
                                "lose-disk",
                                "kill",
                                "restart",
                                "power",
                                "cut",
                                "freeze",
                                "stall",
                                "full",
                                "blackout",
                                "ack-lose",
                                "drift",
                                "ack-kill",
                                "herd",
                                "halves")
                        .contains(s.trouble()))
                .mapToLong(s -> s.at() + s.ms() + 6000)
                .max()
                .orElse(0);
    }
}
