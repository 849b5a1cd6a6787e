package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

class StormTest {
    /** There is a write under way at every moment; those that were not when the question came do not matter. */
    @Test
    void framesStayConfirmedUnderAStreamOfWrites() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 1).open();
        cluster.crowd().factor(0.02);
        cluster.itemOperator().stop();
        cluster.run(1000);
        final List<ApiResponse> said = new ArrayList<>();
        int stale = 0;
        for (int i = 0; i < 600; i++) {
            final SimNode door = cluster.node("ed" + (1 + i % 5));
            final Purge purge = new Purge(null, "/page/" + i, null, "shop.example", null);
            door.execute(() -> door.node().updateService().purge(purge, said::add));
            cluster.run(10);
            stale += cluster.nodes().values().stream()
                    .filter(node -> !node.node().viewSynchronizer().isFresh())
                    .count();
        }
        cluster.run(2000);
        assertEquals(0, stale, "nodes with a stale frame, each 10 ms");
        assertEquals(
                600, said.stream().filter(response -> response.status() == 200).count());
    }
}
