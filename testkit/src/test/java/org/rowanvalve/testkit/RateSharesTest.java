package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** A hot shard gets the part of a store's rate that it wants, and the ceiling holds while parts change hands. */
class RateSharesTest {
    /** Objects of one holder only are asked for, more than its even part allows; then of another. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sharesFollowDemandAndTheCeilingHolds(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        cluster.crowd().factor(0.02);
        cluster.itemOperator().stop();
        final byte[] service = "{\"kind\":\"content\",\"rate\":12}".getBytes();
        final byte[] route = Json.write(
                        RunLog.row("prefix", "/hot/", "service", "hot", "mode", "cached", "lifetimeMs", 1))
                .getBytes();
        cluster.node("ed1")
                .putItem(
                        new ItemId(ItemKind.SERVICE, "hot"),
                        service,
                        0,
                        "s",
                        x -> cluster.log()
                                .add(RunLog.row(
                                        "log",
                                        "op",
                                        "t",
                                        cluster.world().now(),
                                        "end",
                                        cluster.world().now(),
                                        "what",
                                        "put",
                                        "item",
                                        "SERVICE/hot",
                                        "service",
                                        "hot",
                                        "rate",
                                        12.0,
                                        "status",
                                        x.status(),
                                        "version",
                                        1)));
        cluster.run(500);
        cluster.node("ed1").putItem(new ItemId(ItemKind.ROUTE, "hot"), route, 0, "r", s -> {});
        cluster.origins().start("hot1", "hot", "content");
        cluster.origins().start("hot2", "hot", "content");
        cluster.run(3000);
        final long[] done = new long[4];
        for (int phase = 0; phase < 2; phase++) {
            final String holder = phase == 0 ? "sh2" : "sh3";
            final PlacementPlan plan =
                    cluster.node("ed1").node().configuration().plan();
            final List<String> paths = new ArrayList<>();
            for (int i = 0; paths.size() < 40; i++) {
                if (plan.assignments()
                        .get(PlacementPlan.shardOf("hot", "hot", "/hot/" + i, 32))
                        .owner()
                        .equals(holder)) {
                    paths.add("/hot/" + i);
                }
            }
            for (int half = 0; half < 2; half++) {
                final int at = 2 * phase + half;
                for (int i = 0; i < 600; i++) {
                    final SimNode ed = cluster.node("ed" + (1 + i % 11));
                    final String path = paths.get(i % paths.size());
                    ed.execute(() -> ed.node()
                            .edge()
                            .handle(
                                    new ClientRequest("GET", path, null, new byte[0], ""),
                                    response -> done[at] += response.status() == 200 ? 1 : 0));
                    cluster.run(20);
                }
            }
        }
        System.out.println("shares " + seed + " " + java.util.Arrays.toString(done));
        assertTrue(done[0] >= 185, "the first demand is followed soon: " + done[0]);
        assertTrue(done[1] >= 263, "its holder comes to have the rate, 288 at most: " + done[1]);
        assertTrue(done[2] >= 110, "demand that moves to another holder is followed: " + done[2]);
        assertTrue(done[3] >= 205, "that holder comes to have the rate: " + done[3]);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(judge.rule(9).checked() > 300);
    }

    /** What a plan's weights come to is never more than the whole, whatever step they are at. */
    @Test
    void weightsNeverPassTheWhole() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 4).open();
        cluster.run(20_000);
        for (final String n : List.of("sh1", "st1", "ed1")) {
            final PlacementPlan plan = cluster.node(n).node().configuration().plan();
            for (final String s : List.of("listing", "seats")) {
                int sum = 0;
                for (int i = 0; i < 32; i++) {
                    sum += plan.weight(s, i);
                }
                assertTrue(sum <= PlacementPlan.WEIGHT_SCALE, n + " " + s + " " + sum);
            }
        }
        assertEquals(
                32,
                cluster.node("ed1").node().configuration().plan().assignments().size());
    }
}
