package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;

/** Each version has one body and each update is atomic, whichever process crashes on the way. */
class UpdateRaceTest {
    private static final String ONE = UpdateCluster.setServices(5, "one", "a", "b", "own1");
    private static final String TWO = UpdateCluster.setServices(5, "two", "b", "a", "own2");

    private static NodeId node(final int i) {
        return UpdateCluster.IDS.get(i);
    }

    /** The versions and notes of these services; all live nodes must agree on them. */
    private static List<String> chosenState(final UpdateCluster cluster, final String... names) {
        final Set<List<String>> views = new HashSet<>();
        cluster.liveNodes()
                .forEach(id -> views.add(Stream.of(names)
                        .map(s -> cluster.item(id, UpdateCluster.service(s)))
                        .map(item -> item.version().number() + " " + UpdateCluster.note(item))
                        .toList()));
        assertEquals(1, views.size(), "nodes differ: " + views);
        return views.iterator().next();
    }

    private static int sendUntilDecided(final UpdateCluster cluster, final NodeId at, final String text) {
        final UpdateCluster.Client again = cluster.new Client(text, 0);
        again.send(at);
        cluster.loop.run(8000);
        return again.status;
    }

    private static void assertNeverChosen(final UpdateCluster cluster, final String note) {
        assertTrue(
                cluster.observed.stream().noneMatch(s -> s.endsWith(" " + note)),
                note + " was chosen: " + cluster.observed);
    }

    @Test
    void onlyOneOfTwoBodiesUnderOneVersionIsAccepted() {
        final UpdateCluster cluster = new UpdateCluster(1);
        assertEquals(200, sendUntilDecided(cluster, node(0), ONE));
        assertEquals(409, sendUntilDecided(cluster, node(1), TWO));
        assertNeverChosen(cluster, "two");
        for (final NodeId id : UpdateCluster.IDS) {
            assertEquals(200, sendUntilDecided(cluster, id, ONE), "again at " + id);
            assertEquals(409, sendUntilDecided(cluster, id, TWO), "again at " + id);
        }
    }

    @Test
    void recordedUpdateIsAcknowledgedAgainAfterLaterChanges() {
        final UpdateCluster cluster = new UpdateCluster(2);
        assertEquals(200, sendUntilDecided(cluster, node(0), ONE));
        assertEquals(200, sendUntilDecided(cluster, node(1), UpdateCluster.setServices(9, "later", "a")));
        assertEquals(200, sendUntilDecided(cluster, node(2), ONE));
        assertEquals(200, sendUntilDecided(cluster, node(3), UpdateCluster.setServices(7, "overtaken", "a")));
        assertEquals(409, sendUntilDecided(cluster, node(4), UpdateCluster.setServices(7, "another", "a")));
        assertEquals(409, sendUntilDecided(cluster, node(4), UpdateCluster.setServices(5, "other", "a")));
        assertEquals(List.of("9 later", "5 one", "5 one"), chosenState(cluster, "a", "b", "own1"));
        assertNeverChosen(cluster, "overtaken");
    }

    @Test
    void eightConcurrentUpdatesAtDifferentNodesAreAllAcknowledgedInTime() {
        for (final boolean preferred : new boolean[] {true, false}) {
            final UpdateCluster cluster = new UpdateCluster(3);
            if (preferred) {
                cluster.setPreferredSequencer(node(1));
            }
            final List<UpdateCluster.Client> all = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                all.add(cluster.new Client(UpdateCluster.setServices(3, "call" + i, "s" + i, "t" + i), 0));
                all.get(i).send(node(i % 5));
            }
            cluster.loop.run(preferred ? 700 : 4000);
            assertEquals(
                    List.of(200),
                    all.stream().map(client -> client.status).distinct().toList(),
                    "preferred " + preferred);
        }
    }

    @Test
    void ledgerDoesNotGrowWithTheNumberOfUpdates() {
        final UpdateCluster cluster = new UpdateCluster(4);
        int after = 0;
        for (int version = 1; version <= 240; version++) {
            final UpdateCluster.Client client =
                    cluster.new Client(UpdateCluster.setServices(1000 + version, "x", "a", "b"), 0);
            client.send(node(version % 5));
            cluster.loop.run(600);
            assertEquals(200, client.status);
            final int size = cluster.item(node(0), ItemId.LEDGER).body().length();
            after = version == 160 ? size : after;
            assertTrue(
                    version <= 160 || size <= after + 100,
                    "after " + version + " updates " + size + " bytes, after 160 " + after);
        }
        assertTrue(after < 8000, after + " bytes");
        assertEquals(
                409,
                sendUntilDecided(cluster, node(2), UpdateCluster.setServices(1140, "y", "a")),
                "a hundred updates later");
        assertEquals(
                200,
                sendUntilDecided(cluster, node(2), UpdateCluster.setServices(1, "x", "a", "b")),
                "long superseded, and acknowledged");
    }

    /**
     * The node that received the update crashes at each of its messages; the update is repeated at another node, at the
     * same node after its restart, or not at all.
     */
    @ParameterizedTest
    @MethodSource("repeaters")
    void updateIsAtomicIfItsNodeCrashesAtAnyMessage(final int repeatedAt, final boolean preferred) {
        boolean done = false;
        int whole = 0;
        for (int message = 0; !done; message++) {
            final UpdateCluster cluster = new UpdateCluster(10 + message);
            if (preferred) {
                cluster.setPreferredSequencer(node(0));
            }
            final boolean[] answered = {false};
            cluster.crashAtMessage(node(0), message);
            cluster.sendUpdate(preferred ? node(3) : node(0), ONE, s -> answered[0] = true);
            cluster.loop.run(450);
            done = cluster.isAlive(node(0));
            cluster.crash(node(0));
            cluster.loop.run(800);
            if (repeatedAt == 0) {
                cluster.start(node(0));
                cluster.loop.run(1500);
            }
            if (repeatedAt >= 0) {
                assertEquals(200, sendUntilDecided(cluster, node(repeatedAt), ONE), "crashed at message " + message);
                assertEquals(409, sendUntilDecided(cluster, node(2), TWO));
            }
            cluster.loop.run(6000);
            final List<String> now = chosenState(cluster, "a", "b", "own1");
            if (repeatedAt >= 0 || !now.equals(List.of("0 gone", "0 gone", "0 gone"))) {
                assertEquals(List.of("5 one", "5 one", "5 one"), now, "crashed at message " + message);
                whole++;
            }
            assertNeverChosen(cluster, "two");
            assertTrue(message < 400, "the update never completes");
        }
        assertTrue(whole > 2, "only " + whole);
    }

    static Stream<org.junit.jupiter.params.provider.Arguments> repeaters() {
        return Stream.of(-1, 0, 1, 4)
                .flatMap(node -> Stream.of(false, true)
                        .map(preferred -> org.junit.jupiter.params.provider.Arguments.of(node, preferred)));
    }

    /**
     * The node of the first client crashes at each message, while another operator's update names the same items in the
     * opposite order.
     */
    @Test
    void concurrentUpdateDecidesTheUpdateOfACrashedNode() {
        boolean done = false;
        for (int message = 0; !done; message++) {
            final UpdateCluster cluster = new UpdateCluster(500 + message);
            cluster.crashAtMessage(node(0), message);
            cluster.sendUpdate(node(0), ONE, s -> {});
            final UpdateCluster.Client other = cluster.new Client(TWO, 0);
            cluster.loop.schedule(message % 60, () -> other.send(node(1)));
            cluster.loop.run(500);
            done = cluster.isAlive(node(0));
            cluster.crash(node(0));
            cluster.loop.run(8000);
            final int one = sendUntilDecided(cluster, node(2), ONE);
            assertOneAccepted(cluster, one, other.status);
        }
    }

    private static void assertOneAccepted(final UpdateCluster cluster, final int one, final int two) {
        assertEquals(Set.of(200, 409), Set.of(one, two), "exactly one is confirmed");
        final String won = one == 200 ? "one" : "two";
        final String lost = one == 200 ? "two" : "one";
        assertNeverChosen(cluster, lost);
        assertEquals(List.of("5 " + won, "5 " + won), chosenState(cluster, "a", "b"));
    }

    static LongStream seeds() {
        return LongStream.range(0, 200);
    }

    /**
     * Lost responses and messages, crashes and restarts, two operators on shared items, and repeated updates at many
     * nodes at once.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void twoOperatorsRaceOverSharedItemsWithLostResponses(final long seed) {
        final UpdateCluster cluster = new UpdateCluster(1000 + seed);
        final Random random = new Random(seed);
        if (random.nextBoolean()) {
            cluster.setPreferredSequencer(node(random.nextInt(5)));
        }
        cluster.setLossRate(random.nextInt(3) * 0.05);
        final double lost = 0.7 + 0.2 * random.nextDouble();
        final List<UpdateCluster.Client[]> pairs = new ArrayList<>();
        for (int version = 1; version <= 4; version++) {
            final UpdateCluster.Client one = cluster
            .new Client(UpdateCluster.setServices(version, "one" + version, "a", "b", "own1" + version), lost);
            final UpdateCluster.Client two = cluster
            .new Client(UpdateCluster.setServices(version, "two" + version, "b", "a", "own2" + version), lost);
            pairs.add(new UpdateCluster.Client[] {one, two});
            one.send(node(random.nextInt(5)));
            cluster.loop.schedule(random.nextInt(150), () -> two.send(node(random.nextInt(5))));
            cluster.loop.run(random.nextInt(400));
            final NodeId victim = node(random.nextInt(5));
            cluster.crash(victim);
            cluster.loop.run(500 + random.nextInt(1000));
            cluster.start(victim);
            cluster.loop.run(1500);
        }
        cluster.setLossRate(0);
        cluster.loop.run(60_000);
        for (int version = 1; version <= 4; version++) {
            assertOneOfPairAccepted(cluster, version, pairs.get(version - 1));
        }
        final Item a = cluster.item(node(0), UpdateCluster.service("a"));
        assertEquals(4, a.version().number());
        chosenState(cluster, "a", "b", "own11", "own21", "own14", "own24");
        assertEquals(UpdateCluster.note(a), chosenState(cluster, "b").get(0).substring(2));
    }

    private static void assertOneOfPairAccepted(
            final UpdateCluster cluster, final int version, final UpdateCluster.Client[] pair) {
        assertEquals(Set.of(200, 409), Set.of(pair[0].status, pair[1].status), "exactly one of version " + version);
        for (final UpdateCluster.Client client : pair) {
            final int i = client == pair[0] ? 1 : 2;
            if (client.status == 409) {
                assertNeverChosen(cluster, (i == 1 ? "one" : "two") + version);
            } else {
                assertEquals(
                        Optional.of((long) version),
                        Optional.of(cluster.item(node(1), UpdateCluster.service("own" + i + version))
                                .version()
                                .number()));
            }
            assertEquals(client.status, sendUntilDecided(cluster, node(version % 5), client.text), "the same again");
        }
    }
}
