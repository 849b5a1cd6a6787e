package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.Json;
import org.rowanvalve.data.StatusReport;
import org.rowanvalve.server.Ctl;
import org.rowanvalve.server.Diff;
import org.rowanvalve.testkit.sim.SimCluster;

/** What two nodes believe, compared: lag, contradiction, and what cannot be asked. */
class DiffTest {
    private static Map<?, ?> tell(final SimCluster town, final String node) {
        return Json.read(new StatusReport(town.node(node).node()).say("all"), Map.class);
    }

    private static List<Diff.Row> diff(final SimCluster town, final String a, final String b) {
        return Diff.of(tell(town, a), tell(town, b));
    }

    @Test
    void nodesThatAgreeDifferInNothing() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 3).open();
        town.crowd().factor(0.01);
        town.itemOperator().stop();
        town.run(5000);
        final List<Diff.Row> rows = diff(town, "st1", "ed4").stream()
                .filter(r -> !r.what().startsWith("item origin") && !r.what().startsWith("item tenure"))
                .toList();
        assertEquals(List.of(), rows);
    }

    @Test
    void acrossACutLinkOneSideLagsAndSaysHowOldItsFrameIs() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 3).open();
        town.cut(List.of("ed3", "sh4"), 20_000);
        town.run(9000);
        final List<Diff.Row> rows = diff(town, "st1", "ed3");
        assertTrue(
                rows.stream()
                        .anyMatch(r -> r.what().equals("frame age")
                                && r.right().equals("not confirmed")
                                && r.newer().equals("st1")),
                rows.toString());
        assertTrue(
                rows.stream()
                        .anyMatch(r -> r.what().equals("plan epoch")
                                && r.newer().equals("st1")
                                && r.kind().equals("lag")),
                rows.toString());
        assertTrue(
                rows.stream()
                        .anyMatch(r ->
                                r.what().startsWith("plan shard") && r.kind().equals("lag")),
                rows.toString());
        assertTrue(
                rows.stream()
                        .anyMatch(r ->
                                r.what().startsWith("member ed3") || r.what().startsWith("member sh4")),
                rows.toString());
        assertTrue(rows.stream().noneMatch(r -> r.kind().equals("contradiction")), rows.toString());
    }

    @Test
    void twoHoldersOfAShardAreAContradiction() {
        final Map<String, Object> a =
                Log.row("node", "sh1", "frameAgeMs", 5, "planEpoch", 2, "leases", Map.of("3", "HELD 1.4"));
        final Map<String, Object> b =
                Log.row("node", "sh2", "frameAgeMs", 5, "planEpoch", 2, "leases", Map.of("3", "HELD 1.5"));
        assertEquals(
                List.of("lease of shard 3: HELD 1.4 | HELD 1.5  (contradiction, newer: sh2)"),
                Diff.of(a, b).stream().map(Diff.Row::line).toList());
    }

    private static String run(final int want, final String... args) throws Exception {
        final ByteArrayOutputStream err = new ByteArrayOutputStream();
        final int rc = Ctl.run(args, new PrintStream(new ByteArrayOutputStream()), new PrintStream(err));
        assertEquals(want, rc, err.toString());
        return err.toString().trim();
    }

    @Test
    void whatCannotBeAskedIsOneLineAndTwo() throws Exception {
        final String line = run(2, "--at", "127.0.0.1:1", "diff", "127.0.0.1:1", "127.0.0.1:1");
        assertTrue(line.startsWith("rwctl: could not ask:"), line);
        assertEquals(1, line.lines().count());
        run(2, "--at", "127.0.0.1:1", "diff", "st1");
        run(2, "sing");
        run(2, "--loud");
    }
}
