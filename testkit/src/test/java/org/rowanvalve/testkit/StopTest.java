package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** An edge that stops leaves nobody without an answer. */
class StopTest {
    @Test
    void aLeavingEdgeEndsOnlyOnceNoRequestHasComeForAWhile() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 1).open();
        cluster.crowd().factor(1e-6);
        cluster.itemOperator().stop();
        final SimNode ed = cluster.node("ed1");
        final long from = cluster.world().now();
        final List<Long> over = new ArrayList<>();
        final List<Integer> said = new ArrayList<>();
        ed.execute(() -> ed.node().shutDown(4000, () -> over.add(cluster.world().now() - from)));
        for (int i = 0; i < 17; i++) {
            cluster.run(100);
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new ClientRequest("GET", "/stock/1", null, new byte[0], ""),
                            response -> said.add(response.status())));
        }
        cluster.run(3000);
        assertEquals(17, said.size());
        assertEquals(1, over.size());
        assertTrue(over.get(0) >= 1950 && over.get(0) < 2600, "ended after " + over.get(0));
    }
}
