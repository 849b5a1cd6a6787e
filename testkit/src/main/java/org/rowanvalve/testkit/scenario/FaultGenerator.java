package org.rowanvalve.testkit.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.testkit.scenario.Scenario.Step;

/** Draws one fault: which machines, for how long, in which variant. */
final class FaultGenerator {
    private static final long CLOSING_MS = 3000;

    private FaultGenerator() {}

    static String disk(final Deployment deployment, final Random random) {
        return deployment.shieldRun()
                ? deployment.disks().get(random.nextInt(deployment.disks().size()))
                : random.nextBoolean() ? "st1" : "st2";
    }

    static Step draw(final Deployment deployment, final Random random, final String what, final long at) {
        final List<String> from = Scenario.ORIGINS.contains(what) ? deployment.origins() : deployment.machines();
        final String one =
                Scenario.DISKS.contains(what) ? disk(deployment, random) : from.get(random.nextInt(from.size()));
        return drawMachineFault(deployment, random, what, one, at);
    }

    /** Of one machine, its clock, disk or links. */
    private static Step drawMachineFault(
            final Deployment deployment, final Random random, final String what, final String one, final long at) {
        return switch (what) {
            case "kill", "restart", "power", "ack-kill" ->
                new Step(
                        at,
                        what,
                        List.of(random.nextInt(3) == 0 ? "authority" : one),
                        1000 + random.nextInt(9000),
                        0,
                        calls(deployment, random, what));
            case "clock-step" ->
                new Step(
                        at,
                        what,
                        some(deployment.machines(), random, 0.3),
                        2000 + random.nextInt(6000),
                        500 + random.nextInt(3500),
                        Set.of(random.nextBoolean() ? "back" : "ahead"));
            case "disk-slow" -> new Step(at, what, List.of(one), 3000 + random.nextInt(5000), 30);
            case "reset-conns" -> new Step(at, what, some(deployment.machines(), random, 0.2), 0, 0.5);
            case "lose-disk", "ack-lose" ->
                new Step(
                        at,
                        what,
                        List.of(deployment.shieldRun() && random.nextInt(3) == 0 ? "authority" : one),
                        500 + random.nextInt(3000),
                        0);
            case "blackout" -> new Step(at, what, List.of(one), 1000 + random.nextInt(3000), 0);
            case "drift" ->
                new Step(at, what, List.of(one), 12_000 + random.nextInt(8000), random.nextBoolean() ? 0.8 : 1.25);
            case "freeze" ->
                new Step(at, what, List.of(one), 300 + random.nextInt(9000), 0, calls(deployment, random, what));
            case "cut" ->
                new Step(
                        at,
                        what,
                        random.nextBoolean() ? List.of(one) : bearable(deployment, random),
                        1000 + random.nextInt(9000),
                        0,
                        calls(deployment, random, what));
            default -> drawControlFault(deployment, random, what, one, at);
        };
    }

    /** Of the machines that count, at operators' answers, and planned work. */
    private static Step drawControlFault(
            final Deployment deployment, final Random random, final String what, final String one, final long at) {
        return switch (what) {
            case "ack-lost" ->
                new Step(at, what, List.of(), 4000 + random.nextInt(6000), 0.7 + random.nextInt(21) / 100.0);
            case "core-cut" ->
                new Step(
                        at,
                        what,
                        counted(deployment, random),
                        random.nextInt(3) == 0 ? 20_000 : 2000 + random.nextInt(8000),
                        0,
                        variants(random, "one-way", "both", "seeds", "meet", "race", "hard"));
            case "after-ack-kill" ->
                new Step(
                        at,
                        what,
                        acker(random),
                        1000 + random.nextInt(5000),
                        1 + random.nextInt(deployment.losses()),
                        moment(random, "kill"));
            case "after-ack-wipe" ->
                new Step(
                        at,
                        what,
                        acker(random),
                        500 + random.nextInt(3000),
                        1 + random.nextInt(deployment.losses()),
                        moment(random));
            case "roll" -> roll(deployment, random, at);
            case "replace-core" ->
                new Step(
                        at,
                        what,
                        List.of(random.nextInt(3) == 0 ? "authority" : random.nextInt(3) == 0 ? "seed" : one),
                        300 + random.nextInt(3000),
                        0,
                        variants(random, "planned"));
            case "seed-turnover" -> new Step(at, what, List.of(), 0, 0);
            case "herd" -> new Step(at, what, List.of(), 500 + random.nextInt(1000), 0);
            case "halves" -> new Step(at, what, List.of(), 1000 + random.nextInt(9000), 0);
            case "race" -> new Step(at, what, List.of(), 3000, 8);
            case "release" -> new Step(at, what, List.of(one), 8000, 0);
            default -> drawTrafficFault(random, what, one, at);
        };
    }

    /** Of links, load and origins. */
    private static Step drawTrafficFault(final Random random, final String what, final String one, final long at) {
        return switch (what) {
            case "slow" -> new Step(at, what, List.of(), 4000, 30 + random.nextInt(150));
            case "loss" -> new Step(at, what, List.of(), 4000, 0.02 + random.nextInt(8) / 100.0);
            case "give-up" -> new Step(at, what, List.of(), 5000, 0.3 + random.nextInt(5) / 10.0);
            case "surge" -> new Step(at, what, List.of(), 5000, 2 + random.nextInt(2));
            case "purges", "storm" -> new Step(at, what, List.of(), 3000, 30);
            case "origin-slow" -> new Step(at, what, List.of(one), 4000, 200 + random.nextInt(3000));
            default -> new Step(at, what, List.of(one), 3000 + random.nextInt(4000), 0);
        };
    }

    /** All machines of a kind in turn; or one that leaves for good. */
    private static Step roll(final Deployment deployment, final Random random, final long at) {
        final Set<String> how = new TreeSet<>(variants(random, "busy"));
        final List<String> who;
        if (random.nextInt(3) == 0) {
            how.add("remove");
            who = List.of(deployment
                    .machines()
                    .get(random.nextInt(deployment.machines().size())));
        } else {
            who = List.of(random.nextInt(3) == 0 ? "all" : random.nextBoolean() ? "shields" : "edges");
        }
        return new Step(at, "roll", who, 1000 + random.nextInt(1500), 1, how);
    }

    /** About a share of them, one at least. */
    private static List<String> some(final List<String> all, final Random random, final double share) {
        final List<String> drawn =
                all.stream().filter(m -> random.nextDouble() < share).toList();
        return drawn.isEmpty() ? List.of(all.get(random.nextInt(all.size()))) : drawn;
    }

    /** As many counted machines as may be lost at once, or fewer. */
    private static List<String> counted(final Deployment deployment, final Random random) {
        final List<String> all = new ArrayList<>(deployment.disks());
        java.util.Collections.shuffle(all, random);
        return List.copyOf(all.subList(0, 1 + random.nextInt(deployment.losses())));
    }

    /** A third of all machines, with no more counted ones than may be lost at once. */
    private static List<String> bearable(final Deployment deployment, final Random random) {
        final List<String> drawn = new ArrayList<>(deployment.machines().stream()
                .filter(m -> random.nextInt(3) == 0)
                .toList());
        if (deployment.shieldRun()) {
            final List<String> shields =
                    drawn.stream().filter(m -> m.startsWith("sh")).toList();
            drawn.removeAll(shields.subList(Math.min(deployment.losses(), shields.size()), shields.size()));
        }
        return drawn;
    }

    private static Set<String> variants(final Random random, final String... names) {
        final Set<String> drawn = new TreeSet<>();
        for (final String name : names) {
            if (random.nextInt(2) == 0) {
                drawn.add(name);
            }
        }
        return drawn;
    }

    private static Set<String> calls(final Deployment deployment, final Random random, final String what) {
        return Scenario.ways(deployment, what).contains("meet") && random.nextInt(3) == 0
                ? variants(random, "meet", "race", "hard")
                : Set.of();
    }

    private static List<String> acker(final Random random) {
        return random.nextInt(4) == 0 ? List.of("shields") : List.of("acker");
    }

    private static Set<String> moment(final Random random, final String... more) {
        final Set<String> drawn = new TreeSet<>(variants(random, more));
        switch (random.nextInt(3)) {
            case 0 -> drawn.add("timed");
            case 1 -> drawn.add("taken");
            default -> {}
        }
        return drawn;
    }

    /** Right after an order was acknowledged: all power, all processes, or as many disks as may be lost, alone or not. */
    static List<Step> closing(final Deployment deployment, final Random random, final long seed) {
        final List<String> disks = new ArrayList<>(deployment.disks());
        java.util.Collections.shuffle(disks, random);
        final List<String> lost = List.copyOf(disks.subList(0, deployment.losses()));
        return switch ((int) (seed % 4)) {
            case 0 -> List.of(new Step(0, "power", List.of("all"), CLOSING_MS, 0));
            case 1 -> List.of(new Step(0, "blackout", lost, CLOSING_MS, 0));
            case 2 -> List.of(new Step(0, "kill", List.of("all"), CLOSING_MS, 0));
            default -> List.of(new Step(0, "lose-disk", lost, CLOSING_MS, 0));
        };
    }
}
