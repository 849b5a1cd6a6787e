package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** An edge that stops leaves nobody without an answer. */
class StopTest {
    @Test
    void aLeavingEdgeEndsOnlyOnceNoRequestHasComeForAWhile() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 1).open();
        town.crowd().factor(1e-6);
        town.itemOperator().stop();
        final SimNode ed = town.node("ed1");
        final long from = town.world().now();
        final List<Long> over = new ArrayList<>();
        final List<Integer> said = new ArrayList<>();
        ed.post(() -> ed.node().leave(4000, () -> over.add(town.world().now() - from)));
        for (int i = 0; i < 17; i++) {
            town.run(100);
            ed.post(() -> ed.node()
                    .edge()
                    .take(new ClientRequest("GET", "/stock/1", null, new byte[0], ""), a -> said.add(a.status())));
        }
        town.run(3000);
        assertEquals(17, said.size());
        assertEquals(1, over.size());
        assertTrue(over.get(0) >= 1950 && over.get(0) < 2600, "ended after " + over.get(0));
    }
}
