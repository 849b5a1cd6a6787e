package org.rowanvalve.testkit.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.model.ValidationError;

/** Plans of soak runs: drawn from seeds, kept as files, reduced, and refused where they cannot be played. */
class SoakPlanTest {
    private static final double MINUTES = 4;

    @TempDir
    private Path folder;

    private static SoakPlan plan(final SoakPlace place, final long seed) {
        return new SoakPlanGenerator(place, seed).plan(MINUTES, 0);
    }

    private static Stream<SoakPlan> plans() {
        return Stream.of(SoakPlace.values())
                .flatMap(place -> LongStream.rangeClosed(1, 300).mapToObj(seed -> plan(place, seed)));
    }

    private static Stream<Disturbance> disturbances(final SoakRound round, final DisturbanceKind kind) {
        return round.series().stream()
                .flatMap(series -> series.disturbances().stream())
                .filter(disturbance -> disturbance.kind() == kind);
    }

    @Test
    void theSameSeedGivesTheSamePlanAndAnotherOneAnother() {
        assertEquals(plan(SoakPlace.SHIELDS, 7), plan(SoakPlace.SHIELDS, 7));
        assertNotEquals(plan(SoakPlace.SHIELDS, 7), plan(SoakPlace.SHIELDS, 8));
        assertNotEquals(
                plan(SoakPlace.SHIELDS, 7).rounds(), plan(SoakPlace.STORES, 7).rounds());
    }

    @Test
    void seedsBringEachKindOfDisturbanceAndEachSizeOfNetwork() {
        final Set<DisturbanceKind> kinds = EnumSet.noneOf(DisturbanceKind.class);
        final Set<Integer> shields = new HashSet<>();
        final Set<Integer> regions = new HashSet<>();
        plans().forEach(plan -> {
            shields.add(plan.shields());
            regions.add(plan.regions());
            plan.rounds().forEach(round -> round.series().forEach(series -> kinds.add(series.kind())));
        });
        assertEquals(EnumSet.allOf(DisturbanceKind.class), kinds);
        assertEquals(Set.of(2, 3, 4, 5, 6), shields);
        assertEquals(Set.of(1, 2), regions);
    }

    @Test
    void seriesOverlapAndChangesGoOnThroughEachRound() {
        plans().flatMap(plan -> plan.rounds().stream()).forEach(round -> {
            assertTrue(round.series().size() >= 4, round::toString);
            assertTrue(disturbances(round, DisturbanceKind.CHANGE).count() * 700 >= round.lengthMs());
        });
    }

    /** What may be lost is not exceeded: else a run would find faults that are none. */
    @Test
    void noMoreVotersLoseTheirStateThanTheNetworkBears() {
        plans().forEach(plan -> plan.rounds().forEach(round -> {
            final long disks = disturbances(round, DisturbanceKind.LOSE_DISK).count();
            assertTrue(disks <= plan.toleratedLosses(), () -> plan.seed() + " " + round);
            if (disks > 0 && !plan.shieldsVote()) {
                assertEquals(0, disturbances(round, DisturbanceKind.POWER_OFF).count());
                assertTrue(Stream.of(DisturbanceKind.KILL, DisturbanceKind.TERMINATE)
                        .flatMap(kind -> disturbances(round, kind))
                        .noneMatch(disturbance -> disturbance.targets().contains("sh1")));
            }
        }));
    }

    @Test
    void targetsAreMachinesOrOriginsOfTheNetwork() {
        plans().forEach(plan -> plan.rounds().stream()
                .flatMap(round -> round.series().stream())
                .flatMap(series -> series.disturbances().stream())
                .forEach(disturbance -> {
                    final List<String> known = disturbance.kind().isOfOneOrigin()
                            ? plan.deployment().origins()
                            : disturbance.kind().needsDisk()
                                    ? plan.deployment().disks()
                                    : plan.deployment().machines();
                    assertTrue(known.containsAll(disturbance.targets()), disturbance::toString);
                }));
    }

    @Test
    void aLongerRunHasMoreRounds() {
        assertEquals(
                1,
                new SoakPlanGenerator(SoakPlace.STORES, 1).plan(0.5, 0).rounds().size());
        assertTrue(
                new SoakPlanGenerator(SoakPlace.STORES, 1).plan(20, 0).rounds().size() > 30);
    }

    @Test
    void aPlanIsReadAsItWasWritten() throws Exception {
        final SoakPlan plan = plan(SoakPlace.SHIELDS, 3);
        final SoakPlanFile file = new SoakPlanFile(folder);
        file.write(plan);
        final List<ValidationError> errors = new ArrayList<>();
        assertEquals(plan, file.read(errors).orElseThrow());
        assertEquals(List.of(), errors);
    }

    private String errorOf(final String text) throws Exception {
        Files.writeString(folder.resolve(SoakPlanFile.NAME), text);
        final List<ValidationError> errors = new ArrayList<>();
        assertTrue(new SoakPlanFile(folder).read(errors).isEmpty());
        return errors.toString();
    }

    @Test
    void aPlanThatCannotBePlayedIsRefusedWithItsFault() throws Exception {
        assertTrue(errorOf("no plan").contains("is no plan of a soak run"));
        assertTrue(errorOf("{\"version\":99}").contains("plans of version 1 are played, this is 99"));
        assertTrue(errorOf("{\"version\":1,\"place\":\"moon\",\"edges\":1,\"shields\":2,\"regions\":1}")
                .contains("no kind of network is named moon"));
        assertTrue(errorOf("{\"version\":1,\"place\":\"stores\",\"edges\":0,\"shields\":2,\"regions\":1}")
                .contains("one edge or more"));
        Files.delete(folder.resolve(SoakPlanFile.NAME));
        final List<ValidationError> errors = new ArrayList<>();
        assertTrue(new SoakPlanFile(folder).read(errors).isEmpty());
        assertTrue(errors.toString().contains("cannot be read"));
    }

    private String refusal(final SoakCommand.Request request) throws Exception {
        final ByteArrayOutputStream errors = new ByteArrayOutputStream();
        final Path programs = Path.of("..", "bin").toAbsolutePath();
        final SoakCommand command =
                new SoakCommand(programs, System.out, new PrintStream(errors, true, StandardCharsets.UTF_8));
        assertEquals(2, command.run(request));
        return errors.toString(StandardCharsets.UTF_8);
    }

    @Test
    void nothingStartsOnBadInput() throws Exception {
        assertTrue(refusal(new SoakCommand.Request("moon", 1, 1, 0, null, null, false))
                .contains("stores or shields is wanted, not moon"));
        assertTrue(refusal(new SoakCommand.Request("stores", 1, 0, 0, null, null, false))
                .contains("--minutes"));
        assertTrue(refusal(new SoakCommand.Request("stores", 1, 1, -1, null, null, false))
                .contains("--edges"));
        assertTrue(refusal(new SoakCommand.Request("stores", 1, 1, 5000, null, null, false))
                .contains("half of this machine's memory is"));
        Files.writeString(folder.resolve("report.txt"), "");
        assertTrue(refusal(new SoakCommand.Request("stores", 1, 1, 0, folder, null, false))
                .contains("is in use by an earlier run"));
        assertTrue(refusal(new SoakCommand.Request("", 1, 1, 0, null, folder.resolve("none"), false))
                .contains("cannot be read"));
    }

    @Test
    void aNetworkMustFitIntoHalfOfTheMemory() {
        final SoakPlan plan = new SoakPlanGenerator(SoakPlace.STORES, 1).plan(1, 50);
        final int processes = plan.deployment().machines().size();
        final long needMb = SoakCapacity.OWN_MB + processes * SoakCapacity.PROCESS_MB;
        assertEquals(List.of(), new SoakCapacity(2 * needMb, 1 << 20).lacks(plan));
        assertEquals(1, new SoakCapacity(2 * needMb - 2, 1 << 20).lacks(plan).size());
        assertEquals(1, new SoakCapacity(2 * needMb, 1000).lacks(plan).size());
        final SoakPlan large = new SoakPlanGenerator(SoakPlace.STORES, 1).plan(1, 301);
        assertFalse(new SoakCapacity(1 << 30, 1 << 30).lacks(large).isEmpty());
    }

    @Test
    void aFailingPlanIsReducedToTheSeriesThatItNeeds() throws Exception {
        final SoakPlan failing = plan(SoakPlace.SHIELDS, 5);
        final DisturbanceKind needed = failing.rounds().get(0).series().get(1).kind();
        final SoakPlan smallest = new PlanReducer(candidate ->
                        candidate.rounds().get(0).series().stream().anyMatch(series -> series.kind() == needed))
                .reduce(failing);
        assertEquals(
                List.of(needed),
                smallest.rounds().get(0).series().stream()
                        .map(DisturbanceSeries::kind)
                        .distinct()
                        .toList());
        assertTrue(smallest.rounds().stream()
                .skip(1)
                .allMatch(round -> round.series().isEmpty()));
        assertEquals(failing, new PlanReducer(candidate -> false).reduce(failing));
    }
}
