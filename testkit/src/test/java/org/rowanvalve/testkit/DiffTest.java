package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.data.node.StatusReport;
import org.rowanvalve.server.cli.ControlCommand;
import org.rowanvalve.server.cli.NodeDiff;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Tests the comparison of two nodes' states: lag, contradiction and unreachable nodes. */
class DiffTest {
    private static Map<?, ?> status(final SimCluster cluster, final String node) {
        return Json.read(new StatusReport(cluster.node(node).node()).describe("all"), Map.class);
    }

    private static List<NodeDiff.Difference> diff(final SimCluster cluster, final String a, final String b) {
        return NodeDiff.of(status(cluster, a), status(cluster, b));
    }

    @Test
    void nodesInAgreementHaveNoDifferences() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 3).open();
        cluster.crowd().factor(0.01);
        cluster.itemOperator().stop();
        cluster.run(5000);
        final List<NodeDiff.Difference> rows = diff(cluster, "st1", "ed4").stream()
                .filter(row ->
                        !row.what().startsWith("item origin") && !row.what().startsWith("item tenure"))
                .toList();
        assertEquals(List.of(), rows);
    }

    @Test
    void acrossACutLinkOneSideLagsAndSaysHowOldItsFrameIs() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 3).open();
        cluster.cut(List.of("ed3", "sh4"), 20_000);
        cluster.run(9000);
        final List<NodeDiff.Difference> rows = diff(cluster, "st1", "ed3");
        assertTrue(
                rows.stream()
                        .anyMatch(row -> row.what().equals("frame age")
                                && row.right().equals("not confirmed")
                                && row.newer().equals("st1")),
                rows.toString());
        assertTrue(
                rows.stream()
                        .anyMatch(row -> row.what().equals("plan epoch")
                                && row.newer().equals("st1")
                                && row.kind().equals("lag")),
                rows.toString());
        assertTrue(
                rows.stream()
                        .anyMatch(row -> row.what().startsWith("plan shard")
                                && row.kind().equals("lag")),
                rows.toString());
        assertTrue(
                rows.stream()
                        .anyMatch(row -> row.what().startsWith("member ed3")
                                || row.what().startsWith("member sh4")),
                rows.toString());
        assertTrue(rows.stream().noneMatch(row -> row.kind().equals("contradiction")), rows.toString());
    }

    @Test
    void twoHoldersOfAShardAreAContradiction() {
        final Map<String, Object> a =
                RunLog.row("node", "sh1", "frameAgeMs", 5, "planEpoch", 2, "leases", Map.of("3", "HELD 1.4"));
        final Map<String, Object> b =
                RunLog.row("node", "sh2", "frameAgeMs", 5, "planEpoch", 2, "leases", Map.of("3", "HELD 1.5"));
        assertEquals(
                List.of("lease of shard 3: HELD 1.4 | HELD 1.5  (contradiction, newer: sh2)"),
                NodeDiff.of(a, b).stream().map(NodeDiff.Difference::line).toList());
    }

    private static String run(final int expectedStatus, final String... args) throws Exception {
        final ByteArrayOutputStream err = new ByteArrayOutputStream();
        final int exitStatus =
                ControlCommand.run(args, new PrintStream(new ByteArrayOutputStream()), new PrintStream(err));
        assertEquals(expectedStatus, exitStatus, err.toString());
        return err.toString().trim();
    }

    @Test
    void unreachableNodeAndUsageErrorsExitWithStatusTwo() throws Exception {
        final String line = run(2, "--at", "127.0.0.1:1", "diff", "127.0.0.1:1", "127.0.0.1:1");
        assertTrue(line.startsWith("rwctl: could not ask:"), line);
        assertEquals(1, line.lines().count());
        run(2, "--at", "127.0.0.1:1", "diff", "st1");
        run(2, "sing");
        run(2, "--loud");
    }
}
