package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.LoadReport;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.VirtualTimeLoop;

class LoadExchangeTest {
    private static final ItemId A = new ItemId(ItemKind.ORIGIN, "a");
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final OriginLoad pool = new OriginLoad("z");
    private final List<String> told = new ArrayList<>();
    private final Transport transport =
            (recipient, msg, wait, then) -> told.add(recipient + " " + ((LoadReport) msg).requestsByOrigin());
    private final LoadExchange gossip =
            new LoadExchange(loop, transport, pool, () -> List.of(NodeId.of("n2"), NodeId.of("n3")));

    private static Origin slots(final int n) {
        return new Origin("s", "10.0.0.1", 80, "x", ServiceKind.OPEN, 0, 0, false, 1, "z", n, 0);
    }

    @Test
    void fewSlotsAreToldSoonAndOnceForManyChanges() {
        pool.onSend(A, loop.now());
        gossip.onChange(slots(2));
        pool.onSend(A, loop.now());
        gossip.onChange(slots(2));
        assertEquals(List.of(), told);
        loop.run(4);
        assertEquals(List.of("n2 {a=2}", "n3 {a=2}"), told);
        told.clear();
        pool.onEnd(A, loop.now(), loop.now(), true, OriginTransport.Load.NONE);
        gossip.onChange(slots(2));
        loop.run(4);
        assertEquals(List.of("n2 {a=1}", "n3 {a=1}"), told);
    }

    @Test
    void manySlotsAreToldNowAndThenEvenIfNothingChanged() {
        gossip.onChange(slots(32));
        gossip.onChange(slots(0));
        loop.run(LoadExchange.INTERVAL_MS - 1);
        assertEquals(List.of(), told);
        loop.run(1);
        assertEquals(List.of("n2 " + Map.of(), "n3 " + Map.of()), told);
        loop.run(LoadExchange.INTERVAL_MS);
        assertEquals(4, told.size());
    }
}
