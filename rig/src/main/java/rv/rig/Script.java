package rv.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import rv.base.Finding;
import rv.control.JsonReader;
import rv.control.JsonShape;

/** A day's troubles: what, whom, when, for how long. */
public record Script(String name, Place place, long seconds, List<Step> steps) {
    public static final Set<String> TROUBLES = Set.of(
            "kill",
            "power",
            "lose-disk",
            "freeze",
            "stall",
            "full",
            "cut",
            "slow",
            "loss",
            "drift",
            "origin-crash",
            "origin-slow",
            "origin-lose",
            "origin-wrong",
            "origin-swap",
            "origin-leave",
            "purges",
            "storm",
            "invalid",
            "surge",
            "restart",
            "origin-replace",
            "blackout",
            "ack-lose");
    /** Of a place whose shields vote: no stores, and operators with versions of their own. */
    public static final Set<String> SHIELDS =
            with(TROUBLES, "ack-kill", "herd", "halves", "race", "release", "origin-surplus", "origin-reuse");

    private static final Set<String> ORIGINS = Set.of(
            "release",
            "origin-surplus",
            "origin-reuse",
            "origin-replace",
            "origin-crash",
            "origin-slow",
            "origin-lose",
            "origin-wrong",
            "origin-swap",
            "origin-leave");
    private static final Set<String> DISKS = Set.of("lose-disk", "stall", "full", "blackout", "ack-lose", "ack-kill");
    private static final Set<String> NOBODY =
            Set.of("slow", "loss", "purges", "storm", "invalid", "surge", "herd", "halves", "race");

    /** {@code at} and {@code ms} in milliseconds from the beginning of traffic; {@code size} is the trouble's own figure. */
    public record Step(long at, String trouble, List<String> who, long ms, double size) {}

    private static Set<String> with(final Set<String> some, final String... more) {
        final Set<String> all = new java.util.TreeSet<>(some);
        all.addAll(List.of(more));
        return all;
    }

    public static Set<String> troubles(final Place place) {
        return place.shieldRun() ? SHIELDS : TROUBLES;
    }

    public static Script read(final byte[] data, final List<Finding> faults) {
        final Object o = JsonReader.read(data, faults);
        final JsonShape s = new JsonShape(o, "", faults);
        final String name = s.text("name", true, "");
        final String place = s.word("place", Place.NAMES);
        final long seconds = s.whole("seconds", true, 60, 1, 3600);
        s.known("steps");
        final Place at = Place.NAMES.contains(place) ? Place.of(place) : Place.kilimanjaro();
        final List<Step> steps = new ArrayList<>();
        if (o instanceof java.util.Map<?, ?> m && m.get("steps") instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                steps.add(step(new JsonShape(list.get(i), "/steps/" + i, faults), at, seconds));
            }
        } else {
            s.fault("steps", "a list is wanted here");
        }
        s.end();
        return new Script(name, at, seconds, steps);
    }

    private static Step step(final JsonShape s, final Place place, final long seconds) {
        final String what = s.word("trouble", troubles(place));
        final long at = s.whole("at", true, 0, 0, seconds * 1000);
        final long ms = s.whole("ms", true, 0, 0, 3_600_000);
        final double size = s.number("size", false, 0, 0, 1_000_000).doubleValue();
        final List<String> who =
                List.of(s.text("who", !NOBODY.contains(what), "").split(","));
        final List<String> names = ORIGINS.contains(what) ? place.origins() : place.machines();
        if (!NOBODY.contains(what)) {
            who.stream()
                    .filter(w -> !w.isEmpty() && !names.contains(w) && !w.equals("authority") && !w.equals("all"))
                    .forEach(w -> s.fault("who", "no target is named " + w));
            if (DISKS.contains(what)) {
                who.stream()
                        .filter(w -> names.contains(w) && !place.disks().contains(w))
                        .forEach(w -> s.fault("who", w + " has no disk"));
            }
        }
        s.end();
        return new Step(at, what, who, ms, size);
    }

    /** A day from a seed: one trouble after another, some on top of each other, a closing fault. */
    public static Script day(final Place place, final long seed, final int count, final long gap) {
        final Random dice = new Random(seed * 31 + 7);
        final List<Step> steps = new ArrayList<>();
        long at = 2000;
        for (int i = 0; i < count; i++) {
            final String what = drawn(place, (seed - 1) * count + i);
            final long gone = last(steps);
            if (Set.of("lose-disk", "blackout", "ack-lose").contains(what) && at < gone) {
                at = gone;
            }
            steps.add(roll(place, dice, what, at));
            at += dice.nextInt(4) == 0 ? 500 : gap + dice.nextInt((int) gap);
        }
        final long close = Math.max(at, last(steps));
        steps.add(
                seed % 2 == 0
                        ? new Step(close, "power", List.of("all"), 3000, 0)
                        : new Step(close, "blackout", List.of(disk(place, dice)), 3000, 0));
        steps.sort(Comparator.comparingLong(Step::at));
        return new Script("day-" + seed, place, (close + 26_000) / 1000, steps);
    }

    /** Every two troubles, also one twice. */
    public static List<List<String>> pairs(final Place place) {
        final List<String> all = troubles(place).stream().sorted().toList();
        final List<List<String>> list = new ArrayList<>();
        all.forEach(a -> all.stream().filter(b -> a.compareTo(b) <= 0).forEach(b -> list.add(List.of(a, b))));
        return list;
    }

    /** The second trouble comes within a second and a half of the first. Two that touch stores touch the same one: a lost disk at a time. */
    public static Script pair(final Place place, final List<String> two, final long seed) {
        final Random dice = new Random(seed * 131 + two.hashCode());
        final Step a = roll(place, dice, two.get(0), 2000);
        final Step b = roll(place, dice, two.get(1), 2000 + dice.nextInt(1500));
        final boolean flip = dice.nextBoolean();
        final String store = disk(place, dice);
        final List<Step> steps = java.util.stream.Stream.of(flip ? at(b, 2000) : a, flip ? at(a, b.at()) : b)
                .map(s -> ORIGINS.contains(s.trouble()) || s.who().isEmpty()
                        ? s
                        : new Step(
                                s.at(),
                                s.trouble(),
                                s.who().stream()
                                        .map(w -> place.disks().contains(w) || w.equals("authority") ? store : w)
                                        .distinct()
                                        .toList(),
                                s.ms(),
                                s.size()))
                .toList();
        final long end = steps.stream().mapToLong(s -> s.at() + s.ms()).max().orElse(0);
        return new Script(two.get(0) + "+" + two.get(1), place, (end + 17_000) / 1000, steps);
    }

    private static Step at(final Step s, final long when) {
        return new Step(when, s.trouble(), s.who(), s.ms(), s.size());
    }

    /** Troubles come off a shuffled pack, so that few days in a row hold every one of them. */
    private static String drawn(final Place place, final long n) {
        final List<String> pack =
                new ArrayList<>(troubles(place).stream().sorted().toList());
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

    private static String disk(final Place place, final Random dice) {
        return place.shieldRun()
                ? place.disks().get(dice.nextInt(place.disks().size()))
                : dice.nextBoolean() ? "st1" : "st2";
    }

    private static Step roll(final Place place, final Random dice, final String what, final long at) {
        final List<String> from = ORIGINS.contains(what) ? place.origins() : place.machines();
        final String one = DISKS.contains(what) ? disk(place, dice) : from.get(dice.nextInt(from.size()));
        return switch (what) {
            case "kill", "restart", "power", "ack-kill" ->
                new Step(at, what, List.of(dice.nextInt(3) == 0 ? "authority" : one), 1000 + dice.nextInt(9000), 0);
            case "herd" -> new Step(at, what, List.of(), 500 + dice.nextInt(1000), 0);
            case "halves" -> new Step(at, what, List.of(), 1000 + dice.nextInt(9000), 0);
            case "race" -> new Step(at, what, List.of(), 3000, 8);
            case "release" -> new Step(at, what, List.of(one), 8000, 0);
            case "lose-disk", "ack-lose" ->
                new Step(
                        at,
                        what,
                        List.of(place.shieldRun() && dice.nextInt(3) == 0 ? "authority" : one),
                        500 + dice.nextInt(3000),
                        0);
            case "blackout" -> new Step(at, what, List.of(one), 1000 + dice.nextInt(3000), 0);
            case "drift" ->
                new Step(at, what, List.of(one), 12_000 + dice.nextInt(8000), dice.nextBoolean() ? 0.8 : 1.25);
            case "freeze" -> new Step(at, what, List.of(one), 300 + dice.nextInt(9000), 0);
            case "cut" ->
                new Step(
                        at,
                        what,
                        dice.nextBoolean()
                                ? List.of(one)
                                : place.machines().stream()
                                        .filter(m -> dice.nextInt(3) == 0)
                                        .toList(),
                        1000 + dice.nextInt(9000),
                        0);
            case "slow" -> new Step(at, what, List.of(), 4000, 30 + dice.nextInt(150));
            case "loss" -> new Step(at, what, List.of(), 4000, 0.02 + dice.nextInt(8) / 100.0);
            case "surge" -> new Step(at, what, List.of(), 5000, 2 + dice.nextInt(2));
            case "purges", "storm" -> new Step(at, what, List.of(), 3000, 30);
            case "origin-slow" -> new Step(at, what, List.of(one), 4000, 200 + dice.nextInt(3000));
            default -> new Step(at, what, List.of(one), 3000 + dice.nextInt(4000), 0);
        };
    }
}
