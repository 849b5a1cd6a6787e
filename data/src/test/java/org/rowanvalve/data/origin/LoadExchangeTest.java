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
    private final OriginLoad load = new OriginLoad("z");
    private final List<String> reports = new ArrayList<>();
    private final Transport transport = (recipient, message, timeout, callback) ->
            reports.add(recipient + " " + ((LoadReport) message).requestsByOrigin());
    private final LoadExchange exchange =
            new LoadExchange(loop, transport, load, () -> List.of(NodeId.of("n2"), NodeId.of("n3")));

    private static Origin originWithSlots(final int slots) {
        return new Origin("s", "10.0.0.1", 80, "x", ServiceKind.OPEN, 0, 0, false, 1, "z", slots, 0);
    }

    @Test
    void changesAtAnOriginWithFewSlotsAreReportedSoonAndTogether() {
        load.onSend(A, loop.now());
        exchange.onChange(originWithSlots(2));
        load.onSend(A, loop.now());
        exchange.onChange(originWithSlots(2));
        assertEquals(List.of(), reports);
        loop.run(4);
        assertEquals(List.of("n2 {a=2}", "n3 {a=2}"), reports);
        reports.clear();
        load.onEnd(A, loop.now(), loop.now(), true, OriginTransport.Load.NONE);
        exchange.onChange(originWithSlots(2));
        loop.run(4);
        assertEquals(List.of("n2 {a=1}", "n3 {a=1}"), reports);
    }

    @Test
    void loadIsReportedAtEachIntervalEvenWithoutChanges() {
        exchange.onChange(originWithSlots(32));
        exchange.onChange(originWithSlots(0));
        loop.run(LoadExchange.INTERVAL_MS - 1);
        assertEquals(List.of(), reports);
        loop.run(1);
        assertEquals(List.of("n2 " + Map.of(), "n3 " + Map.of()), reports);
        loop.run(LoadExchange.INTERVAL_MS);
        assertEquals(4, reports.size());
    }
}
