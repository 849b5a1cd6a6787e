package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Msg;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Json;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** What would grow over days is dropped, on every node and disk, also on those that were away. */
class GrowthTest {
    private static final long LONG = Long.getLong("rowanvalve.cut", 400_000);

    private static long purges(final SimNode n) {
        return n.node().held().all().stream()
                .map(Msg.Chosen::item)
                .filter(i -> i.id().kind() == Kind.PURGE)
                .count();
    }

    private static void purge(final SimCluster town, final String name, final String path, final List<ApiResult> said) {
        final byte[] body = Json.text(Log.row("route", "stock", "path", path)).getBytes();
        town.node("ed1")
                .post(() -> town.node("ed1")
                        .node()
                        .clerk()
                        .put(new ItemId(Kind.PURGE, name), body, 0, "w-" + name, said::add));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void oldPurgesAreDroppedEverywhereAndTheirNamesPurgeAgain(final long seed) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), seed).open();
        town.crowd().factor(0.02);
        town.itemOperator().stop();
        final List<ApiResult> said = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            purge(town, "p" + i, "/stock/" + i, said);
            town.run(50);
        }
        assertEquals(300, said.stream().filter(s -> s.status() == 200).count());
        assertTrue(purges(town.node("ed5")) >= 300);
        town.cut(List.of("ed3", "st2"), 100_000);
        town.run(99_000);
        assertTrue(purges(town.node("ed3")) >= 300, "it has not heard of the sweep yet");
        assertTrue(purges(town.node("ed5")) < 30, "left " + purges(town.node("ed5")));
        town.run(8000);
        for (final SimNode n : town.nodes().values()) {
            assertTrue(purges(n) < 30, n.id() + " " + purges(n));
            assertTrue(n.node().sync().fresh(), n.id().text());
        }
        assertTrue(!town.node("st1").disk().has("e/PURGE/p7")
                && !town.node("st2").disk().has("e/PURGE/p7"));
        final long floor = town.node("ed3").node().held().sweep().purges();
        town.crowd().factor(1e-6);
        town.run(2500);
        final List<String> seen = new ArrayList<>();
        final SimNode ed = town.node("ed3");
        for (int i = 0; i < 3; i++) {
            if (i == 2) {
                purge(town, "p7", "/stock/7", said);
                town.run(1000);
            }
            ed.post(() -> ed.node()
                    .edge()
                    .take(
                            new ClientRequest("GET", "/stock/7", null, new byte[0], ""),
                            a -> seen.add(a.status() + " " + a.heads().get("Rv-Cache"))));
            town.run(200);
        }
        assertEquals(List.of("200 miss", "200 hit", "200 miss"), seen);
        assertTrue(((Number) said.get(said.size() - 1).body().get("version")).longValue() > floor);
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    /** Origins replaced under ever new names leave nothing behind. */
    @Test
    void originsLongGoneAreDropped() {
        final SimCluster town = new SimCluster(Place.coastline(), 3).open();
        town.crowd().factor(0.02);
        town.itemOperator().stop();
        for (int i = 0; i < 40; i++) {
            town.origins().replace("listing1", 1000);
            town.run(2500);
        }
        town.run(100_000);
        town.nodes().values().forEach(n -> {
            final long left = n.node().held().all().stream()
                    .filter(c -> c.item().id().kind() == Kind.ORIGIN)
                    .count();
            assertTrue(left <= 12 + 20, n.id() + " holds " + left);
        });
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    /** Tenure is written all the time, so two nodes are alike between two of its renewals. */
    private static boolean alike(final SimCluster town, final String a, final String b) {
        for (int i = 0; i < 50; i++) {
            if (town.node(a).node().held().digest().all()
                    == town.node(b).node().held().digest().all()) {
                return true;
            }
            town.run(20);
        }
        return false;
    }

    /** A side cut off for longer than anything here is remembered, under purges and changes, serves what is safe throughout, and rejoins without harm. */
    @Test
    void aSideCutOffForLongServesWhatIsSafeAndRejoins() {
        final SimCluster town = new SimCluster(Place.coastline(), 5).open();
        town.crowd().factor(0.03);
        final List<String> side = List.of("ed3", "ed7", "sh3");
        town.run(5000);
        final List<Integer> safe = new ArrayList<>();
        final List<Integer> rest = new ArrayList<>();
        final SimNode ed = town.node("ed3");
        town.itemOperator().stop();
        town.run(1000);
        final List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ed.post(() -> ed.node()
                    .edge()
                    .take(new ClientRequest("GET", "/campus/0", null, new byte[0], ""), a -> first.add(a.status())));
            town.run(1000);
        }
        assertTrue(first.contains(200), "a copy is kept before the cut: " + first);
        town.cut(side, LONG);
        for (int i = 0; i < 8; i++) {
            town.run(6000);
            ed.post(() -> ed.node()
                    .edge()
                    .take(new ClientRequest("GET", "/campus/0", null, new byte[0], ""), a -> safe.add(a.status())));
            ed.post(() -> ed.node()
                    .edge()
                    .take(new ClientRequest("GET", "/courses/0", null, new byte[0], ""), a -> rest.add(a.status())));
            town.node("ed1")
                    .post(() -> town.node("ed1")
                            .node()
                            .clerk()
                            .put(
                                    new ItemId(Kind.PURGE, "hours"),
                                    "{\"route\":\"listing\",\"path\":\"/courses/0\"}".getBytes(),
                                    town.node("ed1")
                                            .node()
                                            .held()
                                            .get(new ItemId(Kind.PURGE, "hours"))
                                            .ver()
                                            .n(),
                                    "h" + town.world().now(),
                                    s -> {}));
        }
        town.run(100);
        assertTrue(safe.stream().allMatch(s -> s == 200), safe.toString());
        assertTrue(rest.stream().allMatch(s -> s == 503), rest.toString());
        town.crowd().factor(0.001);
        town.run(LONG);
        for (final String n : side) {
            assertTrue(town.node(n).node().sync().fresh(), n);
            assertTrue(alike(town, "st1", n), n + " holds what st1 holds, but for what is on its way");
        }
        assertTrue(town.node("sh3").node().holder().count() > 0);
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
    }
}
