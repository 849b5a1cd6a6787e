package org.rowanvalve.data.origin;

import java.util.List;
import java.util.function.Supplier;
import org.rowanvalve.common.message.LoadReport;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.Origin;

/**
 * Reports to the other shields how many requests this shield has in flight at each origin. Reports are sent at a fixed
 * interval, and additionally soon after each change at an origin with few slots.
 */
final class LoadExchange {
    static final long INTERVAL_MS = 500;
    private static final long PROMPT_DELAY_MS = 4;
    private static final int FEW_SLOTS = 16;
    private final EventLoop loop;
    private final Transport transport;
    private final OriginLoad load;
    private final Supplier<List<NodeId>> peers;
    private boolean reportDue;

    LoadExchange(
            final EventLoop loop,
            final Transport transport,
            final OriginLoad load,
            final Supplier<List<NodeId>> peers) {
        this.loop = loop;
        this.transport = transport;
        this.load = load;
        this.peers = peers;
        loop.scheduleRepeatedly(INTERVAL_MS, this::report);
    }

    private void report() {
        final LoadReport report = new LoadReport(load.ownCounts());
        peers.get().forEach(peer -> transport.send(peer, report));
    }

    void onChange(final Origin origin) {
        if (origin.slots() > 0 && origin.slots() <= FEW_SLOTS && !reportDue) {
            reportDue = true;
            loop.schedule(PROMPT_DELAY_MS, () -> {
                reportDue = false;
                report();
            });
        }
    }
}
