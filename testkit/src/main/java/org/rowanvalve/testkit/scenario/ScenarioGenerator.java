package org.rowanvalve.testkit.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.rowanvalve.testkit.scenario.Scenario.Step;

/** Scenarios from seeds: whole days, and two faults that overlap. */
public final class ScenarioGenerator {
    /** One trouble in so many comes again. */
    private static final int AGAIN = 6;

    private ScenarioGenerator() {}

    /** A day from a seed: one trouble after another, some on top of each other, a closing fault. */
    public static Scenario day(final Deployment deployment, final long seed, final int count, final long gap) {
        return deployment.shieldRun()
                ? shieldDay(deployment, seed, count, gap)
                : storeDay(deployment, seed, count, gap);
    }

    /** Any trouble at any moment, some twice, some on top of each other; the player lets them wait their turn. */
    private static Scenario shieldDay(final Deployment deployment, final long seed, final int count, final long gap) {
        final Random random = new Random(seed * 31 + 7);
        final List<Step> steps = new ArrayList<>();
        long at = 2000;
        for (int i = 0; i < count; i++) {
            final String what = drawn(deployment, (seed - 1) * count + i);
            steps.add(FaultGenerator.draw(deployment, random, what, at));
            if (random.nextInt(AGAIN) == 0) {
                at += random.nextInt((int) gap);
                steps.add(FaultGenerator.draw(deployment, random, what, at));
            }
            at += random.nextInt(3) == 0 ? random.nextInt(400) : gap / 2 + random.nextInt((int) gap);
        }
        return new Scenario(
                "day-" + seed, deployment, at / 1000, steps, FaultGenerator.closing(deployment, random, seed));
    }

    private static Scenario storeDay(final Deployment deployment, final long seed, final int count, final long gap) {
        final Random random = new Random(seed * 31 + 7);
        final List<Step> steps = new ArrayList<>();
        long at = 2000;
        for (int i = 0; i < count; i++) {
            final String what = drawn(deployment, (seed - 1) * count + i);
            final long gone = last(steps);
            if (Set.of("lose-disk", "blackout", "ack-lose").contains(what) && at < gone) {
                at = gone;
            }
            steps.add(FaultGenerator.draw(deployment, random, what, at));
            at += random.nextInt(4) == 0 ? 500 : gap + random.nextInt((int) gap);
        }
        final long close = Math.max(at, last(steps));
        steps.add(
                seed % 2 == 0
                        ? new Step(close, "power", List.of("all"), 3000, 0)
                        : new Step(close, "blackout", List.of(FaultGenerator.disk(deployment, random)), 3000, 0));
        steps.sort(Comparator.comparingLong(Step::at));
        return new Scenario("day-" + seed, deployment, (close + 26_000) / 1000, steps);
    }

    /** Every two troubles, also one twice. */
    public static List<List<String>> pairs(final Deployment deployment) {
        final List<String> all = Scenario.troubles(deployment).stream().sorted().toList();
        final List<List<String>> list = new ArrayList<>();
        all.forEach(a -> all.stream().filter(b -> a.compareTo(b) <= 0).forEach(b -> list.add(List.of(a, b))));
        return list;
    }

    /** The second trouble comes within a second and a half of the first. Two that touch stores touch the same one: a lost disk at a time. */
    public static Scenario pair(final Deployment deployment, final List<String> two, final long seed) {
        final Random random = new Random(seed * 131 + two.hashCode());
        final Step first = FaultGenerator.draw(deployment, random, two.get(0), 2000);
        final Step second = FaultGenerator.draw(deployment, random, two.get(1), 2000 + random.nextInt(1500));
        final boolean flip = random.nextBoolean();
        final String store = FaultGenerator.disk(deployment, random);
        final List<Step> steps = java.util.stream.Stream.of(
                        flip ? second.at(2000) : first, flip ? first.at(second.at()) : second)
                .map(step -> Scenario.ORIGINS.contains(step.trouble())
                                || step.who().isEmpty()
                        ? step
                        : new Step(
                                step.at(),
                                step.trouble(),
                                step.who().stream()
                                        .map(w -> deployment.disks().contains(w) || w.equals("authority") ? store : w)
                                        .distinct()
                                        .toList(),
                                step.ms(),
                                step.size(),
                                step.how()))
                .toList();
        final long end =
                steps.stream().mapToLong(step -> step.at() + step.ms()).max().orElse(0);
        return new Scenario(two.get(0) + "+" + two.get(1), deployment, (end + 17_000) / 1000, steps);
    }

    /** Troubles come off a shuffled pack, so that few days in a row hold every one of them. */
    private static String drawn(final Deployment deployment, final long n) {
        final List<String> pack =
                new ArrayList<>(Scenario.troubles(deployment).stream().sorted().toList());
        Collections.shuffle(pack, new Random(n / pack.size() * 31 + 5));
        return pack.get((int) (n % pack.size()));
    }

    /** One lost disk at a time is what must be survived: the next waits until the last is rebuilt. */
    private static long last(final List<Step> steps) {
        return steps.stream()
                .filter(step -> Set.of(
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
                        .contains(step.trouble()))
                .mapToLong(step -> step.at() + step.ms() + 6000)
                .max()
                .orElse(0);
    }
}
