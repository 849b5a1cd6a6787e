package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** What would grow over days is dropped, on every node and disk, also on those that were away. */
class GrowthTest {
    private static final long LONG = Long.getLong("rowanvalve.cut", 400_000);

    private static long purges(final SimNode node) {
        return node.node().items().all().stream()
                .map(ChosenItem::item)
                .filter(item -> item.id().kind() == ItemKind.PURGE)
                .count();
    }

    private static void purge(
            final SimCluster cluster, final String name, final String path, final List<ApiResponse> said) {
        final byte[] body =
                Json.write(RunLog.row("route", "stock", "path", path)).getBytes();
        cluster.node("ed1").putItem(new ItemId(ItemKind.PURGE, name), body, 0, "w-" + name, said::add);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void oldPurgesAreDroppedEverywhereAndTheirNamesPurgeAgain(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        cluster.crowd().factor(0.02);
        cluster.itemOperator().stop();
        final List<ApiResponse> said = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            purge(cluster, "p" + i, "/stock/" + i, said);
            cluster.run(50);
        }
        assertEquals(300, said.stream().filter(s -> s.status() == 200).count());
        assertTrue(purges(cluster.node("ed5")) >= 300);
        cluster.cut(List.of("ed3", "st2"), 100_000);
        cluster.run(99_000);
        assertTrue(purges(cluster.node("ed3")) >= 300, "it has not heard of the sweep yet");
        assertTrue(purges(cluster.node("ed5")) < 30, "left " + purges(cluster.node("ed5")));
        cluster.run(8000);
        for (final SimNode node : cluster.nodes().values()) {
            assertTrue(purges(node) < 30, node.id() + " " + purges(node));
            assertTrue(node.node().viewSynchronizer().isFresh(), node.id().text());
        }
        assertTrue(!cluster.node("st1").disk().has("e/PURGE/p7")
                && !cluster.node("st2").disk().has("e/PURGE/p7"));
        final long floor = cluster.node("ed3").node().items().collectionFloor().purges();
        cluster.crowd().factor(1e-6);
        cluster.run(2500);
        final List<String> seen = new ArrayList<>();
        final SimNode ed = cluster.node("ed3");
        for (int i = 0; i < 3; i++) {
            if (i == 2) {
                purge(cluster, "p7", "/stock/7", said);
                cluster.run(1000);
            }
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new ClientRequest("GET", "/stock/7", null, new byte[0], ""),
                            response -> seen.add(
                                    response.status() + " " + response.headers().get("Rv-Cache"))));
            cluster.run(200);
        }
        assertEquals(List.of("200 miss", "200 hit", "200 miss"), seen);
        assertTrue(((Number) said.get(said.size() - 1).body().get("version")).longValue() > floor);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    /** Origins replaced under ever new names leave nothing behind. */
    @Test
    void originsLongGoneAreDropped() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 3).open();
        cluster.crowd().factor(0.02);
        cluster.itemOperator().stop();
        for (int i = 0; i < 40; i++) {
            cluster.origins().replace("listing1", 1000);
            cluster.run(2500);
        }
        cluster.run(100_000);
        cluster.nodes().values().forEach(node -> {
            final long left = node.node().items().all().stream()
                    .filter(chosen -> chosen.item().id().kind() == ItemKind.ORIGIN)
                    .count();
            assertTrue(left <= 12 + 20, node.id() + " holds " + left);
        });
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    /** Tenure is written all the time, so two nodes are alike between two of its renewals. */
    private static boolean alike(final SimCluster cluster, final String a, final String b) {
        for (int i = 0; i < 50; i++) {
            if (cluster.node(a).node().items().digest().total()
                    == cluster.node(b).node().items().digest().total()) {
                return true;
            }
            cluster.run(20);
        }
        return false;
    }

    /** A side cut off for longer than anything here is remembered, under purges and changes, serves what is safe throughout, and rejoins without harm. */
    @Test
    void aSideCutOffForLongServesWhatIsSafeAndRejoins() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 5).open();
        cluster.crowd().factor(0.03);
        final List<String> side = List.of("ed3", "ed7", "sh3");
        cluster.run(5000);
        final List<Integer> safe = new ArrayList<>();
        final List<Integer> rest = new ArrayList<>();
        final SimNode ed = cluster.node("ed3");
        cluster.itemOperator().stop();
        cluster.run(1000);
        final List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new ClientRequest("GET", "/campus/0", null, new byte[0], ""),
                            response -> first.add(response.status())));
            cluster.run(1000);
        }
        assertTrue(first.contains(200), "a copy is kept before the cut: " + first);
        cluster.cut(side, LONG);
        for (int i = 0; i < 8; i++) {
            cluster.run(6000);
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new ClientRequest("GET", "/campus/0", null, new byte[0], ""),
                            response -> safe.add(response.status())));
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new ClientRequest("GET", "/courses/0", null, new byte[0], ""),
                            response -> rest.add(response.status())));
            cluster.node("ed1")
                    .putItem(
                            new ItemId(ItemKind.PURGE, "hours"),
                            "{\"route\":\"listing\",\"path\":\"/courses/0\"}".getBytes(),
                            cluster.node("ed1")
                                    .node()
                                    .items()
                                    .get(new ItemId(ItemKind.PURGE, "hours"))
                                    .version()
                                    .number(),
                            "h" + cluster.world().now(),
                            s -> {});
        }
        cluster.run(100);
        assertTrue(safe.stream().allMatch(s -> s == 200), safe.toString());
        assertTrue(rest.stream().allMatch(s -> s == 503), rest.toString());
        cluster.crowd().factor(0.001);
        cluster.run(LONG);
        for (final String n : side) {
            assertTrue(cluster.node(n).node().viewSynchronizer().isFresh(), n);
            assertTrue(alike(cluster, "st1", n), n + " holds what st1 holds, but for what is on its way");
        }
        assertTrue(cluster.node("sh3").node().leaseHolder().heldCount() > 0);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }
}
