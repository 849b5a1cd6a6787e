package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Items that a voter learns while its lost state is being rebuilt must be on its disk afterwards. */
class AcceptorRebuildTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void itemsLearnedDuringARebuildAreOnTheDiskAfterwards(final long seed) {
        final Deployment deployment = seed % 2 == 0 ? Deployment.coastline() : Deployment.kilimanjaro();
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        cluster.crowd().factor(1e-6);
        cluster.itemOperator().stop();
        cluster.run(1000);
        cluster.loseDisk("st1", 200);
        cluster.world().in(700 + seed * 60, () -> cluster.stall("st1", 4000));
        final String service = deployment.kin().get(0).service();
        final List<ApiResponse> responses = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            final ItemId id = new ItemId(ItemKind.ROUTE, "extra" + i);
            final byte[] body = Json.write(RunLog.row(
                            "prefix", "/extra" + i + "/", "service", service, "mode", "cached", "lifetimeMs", 500))
                    .getBytes();
            cluster.node("ed1").putItem(id, body, 0, "w" + id.name(), responses::add);
            cluster.run(90);
        }
        cluster.run(9000);
        final List<Integer> acknowledged = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            final int number = i;
            if (responses.stream()
                    .anyMatch(response -> response.status() == 200
                            && ("route/extra" + number).equals(response.body().get("item")))) {
                acknowledged.add(number);
            }
        }
        assertTrue(acknowledged.size() > 50, responses.toString());
        assertTrue(cluster.node("st1").node().acceptor().hasState());
        assertEquals(
                List.of(),
                acknowledged.stream()
                        .filter(number -> !cluster.node("st1").disk().has("e/ROUTE/extra" + number))
                        .toList());
    }
}
