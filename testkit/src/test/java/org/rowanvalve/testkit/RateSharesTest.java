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

/** The shares of a store's rate follow the demand of shards, and the rate is not exceeded while shares change. */
class RateSharesTest {
    /** Requests only objects of one holder, at a rate above its equal share; then only objects of another holder. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sharesFollowDemandWithinTheRateLimit(final long seed) {
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
                        response -> cluster.log()
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
                                        response.status(),
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
            for (int interval = 0; interval < 2; interval++) {
                final int index = 2 * phase + interval;
                for (int i = 0; i < 600; i++) {
                    final SimNode edge = cluster.node("ed" + (1 + i % 11));
                    final String path = paths.get(i % paths.size());
                    edge.execute(() -> edge.node()
                            .edge()
                            .handle(
                                    new ClientRequest("GET", path, null, new byte[0], ""),
                                    response -> done[index] += response.status() == 200 ? 1 : 0));
                    cluster.run(20);
                }
            }
        }
        System.out.println("shares " + seed + " " + java.util.Arrays.toString(done));
        assertTrue(done[0] >= 185, "shares follow the first demand soon: " + done[0]);
        assertTrue(done[1] >= 263, "the holder gets most of the rate, 288 at most: " + done[1]);
        assertTrue(done[2] >= 110, "shares follow demand that moves to another holder: " + done[2]);
        assertTrue(done[3] >= 205, "the second holder gets most of the rate: " + done[3]);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(judge.rule(9).checked() > 300);
    }

    /** The weights of a plan never add up to more than the whole rate. */
    @Test
    void weightsNeverExceedTheWholeRate() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 4).open();
        cluster.run(20_000);
        for (final String node : List.of("sh1", "st1", "ed1")) {
            final PlacementPlan plan = cluster.node(node).node().configuration().plan();
            for (final String service : List.of("listing", "seats")) {
                int sum = 0;
                for (int i = 0; i < 32; i++) {
                    sum += plan.weight(service, i);
                }
                assertTrue(sum <= PlacementPlan.WEIGHT_SCALE, node + " " + service + " " + sum);
            }
        }
        assertEquals(
                32,
                cluster.node("ed1").node().configuration().plan().assignments().size());
    }
}
