package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.testkit.scenario.Deployment;

/**
 * What a soak run does, fixed before it begins; the same seed gives the same plan.
 *
 * @param version of the plan's format
 * @param place the label of a {@link SoakPlace}
 * @param regions one, or two that are {@value #REGION_DELAY_MS} ms apart
 */
public record SoakPlan(
        int version, String place, long seed, int edges, int shields, int regions, List<SoakRound> rounds) {
    /** The format of plans that this build reads and writes. */
    public static final int CURRENT_VERSION = 1;

    static final long REGION_DELAY_MS = 17;
    private static final long DISK_SYNC_MS = 1;
    private static final long CATCH_UP_MS = 4000;
    private static final int REQUESTS_PER_SECOND = 60;
    /** From so many shields on, the loss of two is to be borne. */
    private static final int SHIELDS_FOR_TWO_LOSSES = 6;

    private static final int SHIELDS_FOR_ONE_LOSS = 3;

    /** How many voters may be lost at once, with their disks. */
    public int toleratedLosses() {
        if (!shieldsVote()) {
            return 1;
        }
        return shields >= SHIELDS_FOR_TWO_LOSSES ? 2 : shields >= SHIELDS_FOR_ONE_LOSS ? 1 : 0;
    }

    public boolean shieldsVote() {
        return SoakPlace.SHIELDS.label().equals(place);
    }

    /** The network of the plan; its services, routes and mix of requests are those of a known deployment. */
    public Deployment deployment() {
        final Deployment model = Deployment.kilimanjaro();
        return new Deployment(
                "soak-" + place,
                edges,
                shields,
                regions == 1
                        ? List.of("one/a", "one/b", "one/c", "one/d")
                        : List.of("one/a", "one/b", "two/a", "two/b"),
                regions == 1 ? 0 : REGION_DELAY_MS,
                DISK_SYNC_MS,
                REQUESTS_PER_SECOND,
                model.kin(),
                false,
                shieldsVote(),
                toleratedLosses(),
                CATCH_UP_MS);
    }

    /** The plan with other rounds. */
    SoakPlan withRounds(final List<SoakRound> others) {
        return new SoakPlan(version, place, seed, edges, shields, regions, others);
    }

    /** The plan without one series of one round. */
    SoakPlan without(final int round, final int series) {
        final List<SoakRound> rest = new ArrayList<>(rounds);
        rest.set(round, rounds.get(round).without(series));
        return withRounds(rest);
    }
}
