package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Json;
import org.rowanvalve.testkit.sim.SimCluster;

/** What is accepted while an elector's memory is being rebuilt stands on its disk afterwards. */
class RebuildTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void whatIsLearnedDuringARebuildIsOnTheDiskAfterIt(final long seed) {
        final Place place = seed % 2 == 0 ? Place.coastline() : Place.kilimanjaro();
        final SimCluster town = new SimCluster(place, seed).open();
        town.crowd().factor(1e-6);
        town.itemOperator().stop();
        town.run(1000);
        town.loseDisk("st1", 200);
        town.world().in(700 + seed * 60, () -> town.stall("st1", 4000));
        final String service = place.kin().get(0).service();
        final List<ApiResult> said = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            final ItemId id = new ItemId(Kind.ROUTE, "extra" + i);
            final byte[] body = Json.text(Log.row(
                            "prefix", "/extra" + i + "/", "service", service, "mode", "cached", "lifetimeMs", 500))
                    .getBytes();
            town.node("ed1").post(() -> town.node("ed1").node().clerk().put(id, body, 0, "w" + id.name(), said::add));
            town.run(90);
        }
        town.run(9000);
        final List<Integer> done = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            final int n = i;
            if (said.stream()
                    .anyMatch(s -> s.status() == 200
                            && ("route/extra" + n).equals(s.body().get("item")))) {
                done.add(n);
            }
        }
        assertTrue(done.size() > 50, said.toString());
        assertTrue(town.node("st1").node().elector().full());
        assertEquals(
                List.of(),
                done.stream()
                        .filter(n -> !town.node("st1").disk().has("e/ROUTE/extra" + n))
                        .toList());
    }
}
