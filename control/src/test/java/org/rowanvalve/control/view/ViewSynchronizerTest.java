package org.rowanvalve.control.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VoterFixture;

class ViewSynchronizerTest {
    private final VoterFixture net = new VoterFixture();
    private final List<Boolean> results = new ArrayList<>();

    @Test
    void onlyRequestsSentAfterTheCallConfirmTheView() {
        net.confirm();
        assertTrue(net.view.isFresh());
        net.view.awaitConfirmation(net.loop.now(), 500, results::add);
        assertEquals(List.of(), results);
        net.loop.run(20);
        assertEquals(List.of(true), results);
    }

    /** Guards against an overload of the voters: callers that wait for the view must share requests to a voter. */
    @Test
    void concurrentCallersShareOneOpenRequestPerVoter() {
        net.missingItems.add(
                new ChosenItem(new Ballot(1, "w"), Item.none(ItemId.LEDGER).successor("{}", "t1")));
        net.responseDelayMs = 100;
        for (int i = 0; i < 40; i++) {
            for (int waiting = 0; waiting < 50; waiting++) {
                net.view.poll();
            }
            net.view.awaitConfirmation(net.loop.now(), 700, results::add);
            net.loop.run(25);
        }
        net.loop.run(1000);
        assertEquals(1, net.mostOpenQueries);
        assertEquals(Collections.nCopies(40, true), results);
    }

    @Test
    void withoutAMajorityTheResultIsFalseAfterTheTimeout() {
        net.confirm();
        net.unreachable.addAll(List.of(NodeId.of("a"), NodeId.of("c")));
        net.loop.run(5);
        net.view.awaitConfirmation(net.loop.now(), 500, results::add);
        net.loop.run(490);
        assertEquals(List.of(), results);
        net.loop.run(30);
        assertEquals(List.of(false), results);
        net.loop.run(1500);
        assertFalse(net.view.isFresh());
    }

    @Test
    void theTimingsLimitTheAgeOfAFreshView() {
        final ViewSynchronizer synchronizer = new ViewSynchronizer(
                net.votingConfiguration,
                net.loop,
                net,
                net.items,
                new org.rowanvalve.common.model.LeaseTimings(3000, 1000, 300),
                net.journal,
                net.items::merge,
                voter -> {});
        synchronizer.poll();
        net.loop.run(10);
        assertTrue(synchronizer.isFresh());
        net.loop.run(300);
        assertFalse(synchronizer.isFresh());
    }

    @Test
    void withoutStoresAnyMajorityIsAWriteQuorum() {
        final List<NodeId> voters = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"), NodeId.of("d"));
        final Quorum even = new Quorum(voters, Set.of());
        assertEquals(3, even.majority());
        assertFalse(even.isWriteQuorum(Set.copyOf(voters.subList(0, 2))));
        assertTrue(even.isWriteQuorum(Set.copyOf(voters.subList(1, 4))));
        assertTrue(even.isReadQuorum(Set.copyOf(voters.subList(1, 4))));
        assertEquals(2, net.votingConfiguration.quorum().majority());
        assertTrue(net.votingConfiguration.quorum().isWriteQuorum(Set.of(NodeId.of("b"), NodeId.of("c"))));
        final Quorum withStore = new Quorum(VoterFixture.ALL, Set.of(NodeId.of("a")));
        assertFalse(withStore.isWriteQuorum(Set.of(NodeId.of("b"), NodeId.of("c"))));
    }
}
