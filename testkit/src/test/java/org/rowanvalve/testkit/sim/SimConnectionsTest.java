package org.rowanvalve.testkit.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.testkit.scenario.Deployment;

/** What the simulator's links do to messages under way. */
class SimConnectionsTest {
    private final SimCluster cluster = new SimCluster(Deployment.kilimanjaroShields(), 1).open();
    private final List<Reply> replies = new ArrayList<>();
    private final List<Message> arrived = new ArrayList<>();

    private void ask(final long wait) {
        cluster.net().tap((recipient, msg) -> {
            if (msg instanceof LearnNotification l && l.items().isEmpty()) {
                arrived.add(msg);
            }
        });
        cluster.net()
                .of(cluster.node("sh1"))
                .request(NodeId.of("sh2"), new LearnNotification(List.of()), wait, replies::add);
    }

    @Test
    void whatIsCutTwiceIsOpenOnceBothAreHealed() {
        final SimTransport net = cluster.net();
        net.cut("sh1", "sh2");
        net.cut("sh1", "sh2");
        assertTrue(net.open("sh2", "sh1"), "one way only");
        net.heal("sh1", "sh2");
        assertFalse(net.open("sh1", "sh2"));
        net.heal("sh1", "sh2");
        net.heal("sh1", "sh2");
        assertTrue(net.open("sh1", "sh2"));
    }

    @Test
    void aResetLosesWhatIsUnderWayAndTheAskerHearsSoAtOnce() {
        cluster.net().slow(400);
        ask(5000);
        cluster.net().resetCircuit("sh2", "sh1");
        cluster.run(5);
        assertEquals(List.of(Reply.failed(Reply.Failure.NO_RESPONSE)), replies);
        cluster.run(3000);
        assertEquals(List.of(), arrived, "the question was on that circuit");
        assertEquals(1, replies.size());
    }

    @Test
    void anotherCircuitsResetDisturbsNothing() {
        ask(5000);
        cluster.net().resetCircuit("sh1", "sh3");
        cluster.run(300);
        assertEquals(1, arrived.size());
        assertEquals(1, replies.size());
        assertTrue(replies.get(0).message() != null);
    }

    @Test
    void anAnswerIsHeardOnlyByTheLifeThatAsked() {
        cluster.net().slow(400);
        ask(5000);
        cluster.kill("sh1", 1);
        cluster.run(3000);
        assertEquals(1, arrived.size());
        assertEquals(List.of(), replies);
    }

    @Test
    void aStepOfTheTimeOfDayLeavesTimersAsTheyAre() {
        final SimNode node = cluster.node("sh4");
        final long before = node.now();
        new CoreFaults(cluster).stepClock("sh4", 4000, 500);
        assertEquals(before, node.now());
        cluster.run(3000);
        assertTrue(cluster.log().rows().stream()
                .anyMatch(r -> "WOKE".equals(r.get("name")) && "sh4".equals(r.get("node"))));
        assertTrue(node.node().viewSynchronizer().isFresh());
    }

    @Test
    void aSlowDiskTakesSoManyTimesAsLong() {
        cluster.orderOperator().stop();
        final long[] took = new long[2];
        for (int i = 0; i < 2; i++) {
            final int turn = i;
            final long from = cluster.world().now();
            cluster.orderOperator().state(s -> took[turn] = cluster.world().now() - from);
            cluster.run(3000);
            cluster.nodes().keySet().stream()
                    .filter(n -> n.startsWith("sh"))
                    .forEach(n -> new CoreFaults(cluster).slowDisk(n, 30, 9000));
        }
        assertTrue(took[0] > 0 && took[1] > took[0] + 25, took[0] + " and " + took[1] + " ms");
    }

    @Test
    void aReplacedMachineIsEmptyAndItsSuccessorStandsForIt() {
        final String next = cluster.add("sh2");
        cluster.retire("sh2");
        assertEquals("sh6", next);
        assertEquals("sh6", cluster.present("sh2").orElseThrow());
        assertEquals(
                Deployment.kilimanjaroShields().cell("sh2"), cluster.node(next).cell());
        cluster.start("sh2");
        assertFalse(cluster.node("sh2").alive(), "it is gone for good");
        assertFalse(cluster.nodes().containsKey("sh2"));
        assertFalse(cluster.node(next).disk().has("e/" + ItemId.LEADERSHIP.text()));
    }
}
