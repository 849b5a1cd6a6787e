package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.rowanvalve.testkit.scenario.Deployment;

/** Draws the plan of a soak run from a seed. */
public final class SoakPlanGenerator {
    /** From the start of the processes to the first round. */
    static final long STARTUP_MS = 15_000;
    /** From the end of a round's series to the next round, where the network recovers as it should. */
    static final long QUIET_MS = 9000;

    private static final long MIN_ROUND_MS = 14_000;
    private static final int ROUND_SPREAD_MS = 10_000;
    private static final int MIN_SERIES = 3;
    private static final int SERIES_SPREAD = 3;
    private static final long MIN_PERIOD_MS = 1500;
    private static final int PERIOD_SPREAD_MS = 5000;
    private static final int MIN_DURATION_MS = 300;
    private static final int DURATION_SPREAD_MS = 4000;
    private static final long CHANGE_PERIOD_MS = 700;
    private static final int CHANGES_AT_ONCE = 12;
    private static final int MAX_SHIELDS = 6;
    private static final int MAX_EDGES = 4;

    /** The elector of a network with stores that has no disk: its end is a loss. */
    private static final String VOTER_WITHOUT_DISK = "sh1";

    private final Random random;
    private final SoakPlace place;
    private final long seed;

    public SoakPlanGenerator(final SoakPlace place, final long seed) {
        this.place = place;
        this.seed = seed;
        this.random = new Random(seed * 31 + place.ordinal());
    }

    /** {@code edges}: how many edges there are, or 0 for a number by the seed. */
    public SoakPlan plan(final double minutes, final int edges) {
        final int shields = 2 + random.nextInt(MAX_SHIELDS - 1);
        final int drawnEdges = 2 + random.nextInt(MAX_EDGES - 1);
        final int regions = 1 + random.nextInt(2);
        final SoakPlan empty = new SoakPlan(
                SoakPlan.CURRENT_VERSION,
                place.label(),
                seed,
                edges > 0 ? edges : drawnEdges,
                shields,
                regions,
                List.of());
        final List<SoakRound> rounds = new ArrayList<>();
        long left = (long) (minutes * 60_000) - STARTUP_MS;
        do {
            final SoakRound round = round(empty, rounds.size());
            rounds.add(round);
            left -= round.lengthMs() + QUIET_MS;
        } while (left >= MIN_ROUND_MS + QUIET_MS);
        return empty.withRounds(List.copyOf(rounds));
    }

    /** Every second round ends with a loss of all power, unless that were a second loss of a voter's memory. */
    private SoakRound round(final SoakPlan plan, final int index) {
        final long lengthMs = MIN_ROUND_MS + random.nextInt(ROUND_SPREAD_MS);
        final List<DisturbanceKind> kinds = new ArrayList<>(kinds(plan));
        Collections.shuffle(kinds, random);
        final List<DisturbanceKind> drawn = kinds.subList(0, MIN_SERIES + random.nextInt(SERIES_SPREAD));
        final List<DisturbanceSeries> series = new ArrayList<>();
        series.add(changes(lengthMs));
        drawn.forEach(kind -> series.add(series(plan, kind, lengthMs, drawn)));
        if (index % 2 == 0 && (plan.shieldsVote() || !drawn.contains(DisturbanceKind.LOSE_DISK))) {
            series.add(new DisturbanceSeries(
                    DisturbanceKind.POWER_OFF,
                    lengthMs,
                    List.of(new Disturbance(DisturbanceKind.POWER_OFF, lengthMs, List.of(), duration(), 0))));
        }
        return new SoakRound(lengthMs, List.copyOf(series));
    }

    private static List<DisturbanceKind> kinds(final SoakPlan plan) {
        return java.util.Arrays.stream(DisturbanceKind.values())
                .filter(kind -> kind != DisturbanceKind.CHANGE && kind != DisturbanceKind.POWER_OFF)
                .filter(kind -> kind != DisturbanceKind.LOSE_DISK || plan.toleratedLosses() > 0)
                .toList();
    }

    private static DisturbanceSeries changes(final long lengthMs) {
        final List<Disturbance> all = new ArrayList<>();
        for (long at = 0; at < lengthMs; at += CHANGE_PERIOD_MS) {
            all.add(new Disturbance(DisturbanceKind.CHANGE, at, List.of(), 0, CHANGES_AT_ONCE));
        }
        return new DisturbanceSeries(DisturbanceKind.CHANGE, CHANGE_PERIOD_MS, all);
    }

    private DisturbanceSeries series(
            final SoakPlan plan, final DisturbanceKind kind, final long lengthMs, final List<DisturbanceKind> others) {
        final long periodMs = MIN_PERIOD_MS + random.nextInt(PERIOD_SPREAD_MS);
        final List<String> candidates = candidates(plan, kind, others);
        final List<Disturbance> all = new ArrayList<>();
        for (long at = random.nextInt((int) MIN_PERIOD_MS); at < lengthMs && isMore(kind, all); at += periodMs) {
            all.add(new Disturbance(kind, at, targets(kind, candidates), duration(), kind.isOfOperators() ? 1 : 0));
        }
        return new DisturbanceSeries(kind, periodMs, all);
    }

    /** A second disk may be lost only once the first one's content is rebuilt. */
    private static boolean isMore(final DisturbanceKind kind, final List<Disturbance> already) {
        return kind != DisturbanceKind.LOSE_DISK || already.isEmpty();
    }

    private long duration() {
        return MIN_DURATION_MS + random.nextInt(DURATION_SPREAD_MS);
    }

    private static List<String> candidates(
            final SoakPlan plan, final DisturbanceKind kind, final List<DisturbanceKind> others) {
        final Deployment deployment = plan.deployment();
        if (kind.isOfOneOrigin()) {
            return deployment.origins();
        }
        if (kind.needsDisk()) {
            return deployment.disks();
        }
        final boolean otherLoss = others.contains(DisturbanceKind.LOSE_DISK) && !plan.shieldsVote();
        final Set<String> excluded = otherLoss && endsProcess(kind) ? Set.of(VOTER_WITHOUT_DISK) : Set.of();
        return deployment.machines().stream()
                .filter(machine -> !excluded.contains(machine))
                .toList();
    }

    private static boolean endsProcess(final DisturbanceKind kind) {
        return kind == DisturbanceKind.TERMINATE || kind == DisturbanceKind.KILL;
    }

    private List<String> targets(final DisturbanceKind kind, final List<String> candidates) {
        if (kind == DisturbanceKind.SPLIT) {
            return IntStream.range(0, candidates.size())
                    .filter(index -> random.nextBoolean())
                    .mapToObj(candidates::get)
                    .toList();
        }
        return kind.isOfOneMachine() || kind.isOfOneOrigin()
                ? List.of(candidates.get(random.nextInt(candidates.size())))
                : List.of();
    }
}
