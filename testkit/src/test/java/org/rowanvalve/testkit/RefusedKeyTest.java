package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Keys whose first try is refused by full origins, and that come back within the window of the try that ran. */
class RefusedKeyTest {
    private static final int KEYS = 8;
    private static final long FULL_MS = 2000;

    private static void full(final SimCluster cluster, final boolean full) {
        cluster.origins().values().stream()
                .filter(origin -> origin.name().startsWith("reserve"))
                .forEach(origin ->
                        origin.fault(full ? "full" : "none", origin.make().ms()));
    }

    private static List<String> askAll(final SimCluster cluster, final long seed, final int edge) {
        final List<String> got = new ArrayList<>();
        keys(seed).forEach(key -> WorstMomentTest.ask(cluster, "ed" + edge, WorstMomentTest.post(key), got));
        cluster.run(FULL_MS);
        assertEquals(KEYS, got.size());
        return got;
    }

    private static List<String> keys(final long seed) {
        return IntStream.range(0, KEYS).mapToObj(i -> "back-" + seed + "-" + i).toList();
    }

    private static void lose(final SimCluster cluster, final String what, final String key) {
        switch (what) {
            case "holder" -> cluster.kill(WorstMomentTest.holder(cluster, key), 1500);
            case "disk" -> cluster.loseDisk("st1", 1500);
            case "other disk" -> cluster.loseDisk("st2", 1500);
            default -> cluster.run(0);
        }
    }

    /** Guards against a key that is forgotten by the age of a first try that was refused (review, case 2). */
    @ParameterizedTest
    @CsvSource({
        "1,nothing,nothing,40000,57000",
        "2,nothing,nothing,27000,58000",
        "3,holder,nothing,40000,50000",
        "4,nothing,holder,40000,57000",
        "5,disk,other disk,45000,55000",
        "6,nothing,disk,84000,57000"
    })
    void aKeyThatWasRefusedAtFirstRunsOnceWithinTheWindowOfItsRun(
            final long seed, final String before, final String after, final long returnMs, final long againMs) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        cluster.run(6000);
        full(cluster, true);
        final List<String> first = askAll(cluster, seed, 1);
        assertTrue(first.stream().allMatch("refused"::equals), first.toString());
        full(cluster, false);
        lose(cluster, before, keys(seed).get(0));
        cluster.run(returnMs);
        final List<String> second = askAll(cluster, seed, 2);
        assertTrue(second.stream().allMatch("done"::equals), second.toString());
        lose(cluster, after, keys(seed).get(0));
        cluster.run(againMs - FULL_MS);
        askAll(cluster, seed, 3);
        keys(seed)
                .forEach(key -> assertEquals(
                        1,
                        cluster.log().rows().stream()
                                .filter(row -> "org".equals(row.get("log")) && key.equals(row.get("key")))
                                .count(),
                        "executions of " + key));
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }
}
