package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.NodeId;

class SyncTest {
    private final Voters net = new Voters();
    private final List<Boolean> heard = new ArrayList<>();

    @Test
    void onlyAConfirmationOfAQuestionSentSinceCounts() {
        net.confirm();
        assertTrue(net.sync.fresh());
        net.sync.after(net.loop.now(), 500, heard::add);
        assertEquals(List.of(), heard);
        net.loop.run(20);
        assertEquals(List.of(true), heard);
    }

    @Test
    void withoutAMajorityItIsNoAtTheCutoff() {
        net.confirm();
        net.deaf.addAll(List.of(NodeId.of("a"), NodeId.of("c")));
        net.loop.run(5);
        net.sync.after(net.loop.now(), 500, heard::add);
        net.loop.run(490);
        assertEquals(List.of(), heard);
        net.loop.run(30);
        assertEquals(List.of(false), heard);
        net.loop.run(1500);
        assertFalse(net.sync.fresh());
    }

    @Test
    void aFramesAgeIsBoundedByWhatTheTimingSays() {
        final FrameSync quick = new FrameSync(
                net.electorate,
                net.loop,
                net,
                net.held,
                new org.rowanvalve.common.Timing(3000, 1000, 300),
                net.journal,
                net.held::merge,
                e -> {});
        quick.round();
        net.loop.run(10);
        assertTrue(quick.fresh());
        net.loop.run(300);
        assertFalse(quick.fresh());
    }

    @Test
    void withoutStoresAMajorityIsEnoughToWrite() {
        final List<NodeId> four = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"), NodeId.of("d"));
        final Quorum even = new Quorum(four, Set.of());
        assertEquals(3, even.need());
        assertFalse(even.write(Set.copyOf(four.subList(0, 2))));
        assertTrue(even.write(Set.copyOf(four.subList(1, 4))));
        assertTrue(even.read(Set.copyOf(four.subList(1, 4))));
        assertEquals(2, net.electorate.quorum().need());
        assertTrue(net.electorate.quorum().write(Set.of(NodeId.of("b"), NodeId.of("c"))));
        final Quorum stores = new Quorum(Voters.ALL, Set.of(NodeId.of("a")));
        assertFalse(stores.write(Set.of(NodeId.of("b"), NodeId.of("c"))));
    }
}
