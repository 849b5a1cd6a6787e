package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Purge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

class StormTest {
    /** There is a write under way at every moment; those that were not when the question came do not matter. */
    @Test
    void framesStayConfirmedUnderAStreamOfWrites() {
        final SimCluster town = new SimCluster(Place.coastline(), 1).open();
        town.crowd().factor(0.02);
        town.itemOperator().stop();
        town.run(1000);
        final List<ApiResult> said = new ArrayList<>();
        int stale = 0;
        for (int i = 0; i < 600; i++) {
            final SimNode door = town.node("ed" + (1 + i % 5));
            final Purge p = new Purge(null, "/page/" + i, null, "shop.example", null);
            door.post(() -> door.node().orders().purge(p, said::add));
            town.run(10);
            stale += town.nodes().values().stream()
                    .filter(n -> !n.node().sync().fresh())
                    .count();
        }
        town.run(2000);
        assertEquals(0, stale, "nodes with a stale frame, each 10 ms");
        assertEquals(600, said.stream().filter(s -> s.status() == 200).count());
    }
}
