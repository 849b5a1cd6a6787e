package org.rowanvalve.data;

import java.util.List;
import java.util.function.Supplier;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.Origin;

/** Tells the other shields how many requests this one has at each origin: soon where slots are few, else now and then. */
final class LoadExchange {
    static final long EACH = 500;
    private static final long SOON = 4;
    private static final int FEW = 16;
    private final Loop loop;
    private final Net net;
    private final OriginLoad pool;
    private final Supplier<List<NodeId>> peers;
    private boolean due;

    LoadExchange(final Loop loop, final Net net, final OriginLoad pool, final Supplier<List<NodeId>> peers) {
        this.loop = loop;
        this.net = net;
        this.pool = pool;
        this.peers = peers;
        loop.every(EACH, this::tell);
    }

    private void tell() {
        final Msg.Busy mine = new Msg.Busy(pool.mine());
        peers.get().forEach(n -> net.tell(n, mine));
    }

    void changed(final Origin at) {
        if (at.slots() > 0 && at.slots() <= FEW && !due) {
            due = true;
            loop.after(SOON, () -> {
                due = false;
                tell();
            });
        }
    }
}
