package org.rowanvalve.testkit.soak;

/** Leaves out series of a failing plan one at a time, as long as what remains still fails. */
final class PlanReducer {
    /** Plays a plan. */
    @FunctionalInterface
    interface Player {
        /** Whether the plan fails. */
        boolean fails(SoakPlan plan) throws Exception;
    }

    private final Player player;

    PlanReducer(final Player player) {
        this.player = player;
    }

    /** The smallest plan that was found to fail; {@code failing} itself where each series is needed. */
    SoakPlan reduce(final SoakPlan failing) throws Exception {
        SoakPlan smallest = failing;
        for (int round = failing.rounds().size() - 1; round >= 0; round--) {
            for (int i = smallest.rounds().get(round).series().size() - 1; i >= 0; i--) {
                final SoakPlan candidate = smallest.without(round, i);
                if (player.fails(candidate)) {
                    smallest = candidate;
                }
            }
        }
        return smallest;
    }
}
