package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.Origin;

class GossipTest {
    private static final ItemId A = new ItemId(Kind.ORIGIN, "a");
    private final Ticks loop = new Ticks();
    private final OriginLoad pool = new OriginLoad("z");
    private final List<String> told = new ArrayList<>();
    private final Net net = (to, msg, wait, then) -> told.add(to + " " + ((Msg.Busy) msg).counts());
    private final LoadExchange gossip =
            new LoadExchange(loop, net, pool, () -> List.of(NodeId.of("n2"), NodeId.of("n3")));

    private static Origin slots(final int n) {
        return new Origin("s", "10.0.0.1", 80, "x", "open", 0, 0, false, 1, "z", n, 0);
    }

    @Test
    void fewSlotsAreToldSoonAndOnceForManyChanges() {
        pool.begin(A, loop.now());
        gossip.changed(slots(2));
        pool.begin(A, loop.now());
        gossip.changed(slots(2));
        assertEquals(List.of(), told);
        loop.run(4);
        assertEquals(List.of("n2 {a=2}", "n3 {a=2}"), told);
        told.clear();
        pool.end(A, loop.now(), loop.now(), true, Port.Load.NONE);
        gossip.changed(slots(2));
        loop.run(4);
        assertEquals(List.of("n2 {a=1}", "n3 {a=1}"), told);
    }

    @Test
    void manySlotsAreToldNowAndThenEvenIfNothingChanged() {
        gossip.changed(slots(32));
        gossip.changed(slots(0));
        loop.run(LoadExchange.EACH - 1);
        assertEquals(List.of(), told);
        loop.run(1);
        assertEquals(List.of("n2 " + Map.of(), "n3 " + Map.of()), told);
        loop.run(LoadExchange.EACH);
        assertEquals(4, told.size());
    }
}
