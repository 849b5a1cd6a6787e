package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Operators who race over shared items at whole nodes, with lost answers, ends and cuts. */
class UpdateDayTest {
    private static final List<String> SHIELDS = List.of("sh1", "sh2", "sh3", "sh4");

    private static SimCluster quiet(final long seed) {
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        cluster.run(1000);
        return cluster;
    }

    private static String call(final long version, final String note, final String... names) {
        final Map<String, Object> services = new TreeMap<>();
        for (final String n : names) {
            services.put(n, Map.of("kind", "open", "note", note, "version", version));
        }
        return Json.write(Map.of("set", Map.of("services", services)));
    }

    private static Item item(final SimCluster cluster, final String node, final String name) {
        return cluster.node(node).node().items().get(new ItemId(ItemKind.SERVICE, name));
    }

    private static String shown(final Item item) {
        return item.version().number() + " "
                + (item.exists() ? Json.read(item.body(), Map.class).get("note") : "gone");
    }

    /** One that sends its call to any shield until an answer that is not lost is clear. */
    private static final class Operator {
        private final SimCluster cluster;
        private final Random random;
        private final String text;
        private final double lost;
        private int turn;
        private int status;

        Operator(final SimCluster cluster, final Random random, final String text, final double lost) {
            this.cluster = cluster;
            this.random = random;
            this.text = text;
            this.lost = lost;
        }

        void send() {
            final int mine = ++turn;
            final SimNode node = cluster.node(SHIELDS.get(random.nextInt(SHIELDS.size())));
            final long life = node.life();
            if (node.alive()) {
                node.execute(() -> node.node().updateService().apply(text.getBytes(StandardCharsets.UTF_8), r -> {
                    if (node.life() == life && random.nextDouble() >= lost && status == 0 && r.status() < 500) {
                        status = r.status();
                    }
                }));
            }
            cluster.world().in(1000, () -> {
                if (status == 0 && mine == turn) {
                    send();
                }
            });
        }
    }

    static LongStream seeds() {
        return LongStream.range(0, 8);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void ofTwoCallsThatMeetOneIsInForceWholeAndNothingOfTheOther(final long seed) {
        final SimCluster cluster = quiet(seed);
        final Random random = new Random(seed);
        final Set<String> seen = new HashSet<>();
        cluster.nodes().values().forEach(node -> node.node().items().addListener(item -> seen.add(shown(item))));
        final List<Operator> all = new ArrayList<>();
        for (int v = 1; v <= 3; v++) {
            final Operator one = new Operator(cluster, random, call(v, "one" + v, "xa", "xb", "own1"), 0.8);
            final Operator two = new Operator(cluster, random, call(v, "two" + v, "xb", "xa", "own2"), 0.8);
            all.addAll(List.of(one, two));
            one.send();
            cluster.world().in(random.nextInt(120), two::send);
            cluster.run(random.nextInt(400));
            final String victim = SHIELDS.get(random.nextInt(SHIELDS.size()));
            if (random.nextBoolean()) {
                cluster.power(victim, 1500);
            } else {
                cluster.freeze(victim, 2500);
            }
            cluster.run(6000);
            cluster.nodes().values().forEach(node -> node.node().items().addListener(item -> seen.add(shown(item))));
        }
        cluster.run(40_000);
        for (int i = 0; i < all.size(); i += 2) {
            final int v = i / 2 + 1;
            assertEquals(Set.of(200, 409), Set.of(all.get(i).status, all.get(i + 1).status), "version " + v);
            final String lost = (all.get(i).status == 409 ? "one" : "two") + v;
            assertTrue(!seen.contains(v + " " + lost), lost + " was in force");
        }
        final Set<String> last = new HashSet<>();
        SHIELDS.forEach(n -> last.addAll(List.of(shown(item(cluster, n, "xa")), shown(item(cluster, n, "xb")))));
        assertEquals(1, last.size(), last.toString());
        assertTrue(last.iterator().next().startsWith("3 "));
    }

    /** Cut off from all others, a shield reads nothing back, refuses nothing and acknowledges nothing. */
    @Test
    void aShieldThatIsCutOffForTwentySecondsAnswersNothingFromWhatItKnew() {
        final SimCluster cluster = quiet(3);
        final List<String> wrong = new ArrayList<>();
        final int[] answers = new int[2];
        final Operator first = new Operator(cluster, new Random(1), call(1, "n1", "moving"), 0);
        first.send();
        cluster.run(1500);
        assertEquals(200, first.status);
        cluster.cut(List.of("sh4"), 20_000);
        for (int v = 2; v <= 80; v++) {
            final long now = v;
            final SimNode node = cluster.node(v % 2 == 0 ? "sh1" : "sh2");
            node.execute(() -> node.node()
                    .updateService()
                    .apply(call(now, "n" + now, "moving").getBytes(), r -> {
                        if (r.status() == 200) {
                            answers[0]++;
                        }
                    }));
            cluster.run(200);
            final long stood = item(cluster, "sh1", "moving").version().number();
            final SimNode lost = cluster.node("sh4");
            final long asked = cluster.world().now();
            lost.execute(() -> lost.node().updateService().readAll(all -> {
                answers[1]++;
                read(all, stood, wrong);
                if (cluster.world().now() - asked > 1000) {
                    wrong.add("read after " + (cluster.world().now() - asked));
                }
            }));
            lost.execute(() -> lost.node()
                    .updateService()
                    .apply(call(stood, "else", "moving").getBytes(), r -> {
                        answers[1]++;
                        if (r.status() != 503 && r.status() != 409) {
                            wrong.add("taken under a number that was taken " + r.status());
                        }
                    }));
            lost.execute(() -> lost.node().updateService().apply("{".getBytes(), r -> {
                answers[1]++;
                if (cluster.world().now() < asked + 700 && asked < 18_000 && r.status() != 503) {
                    wrong.add("refused out of contact " + r.status());
                }
            }));
            cluster.run(80);
        }
        cluster.run(4000);
        assertEquals(List.of(), wrong);
        assertTrue(answers[0] > 60, answers[0] + " changes");
        assertEquals(79 * 3, answers[1]);
    }

    private static void read(
            final Optional<Map<ItemKind, Map<String, Item>>> all, final long stood, final List<String> wrong) {
        all.map(m -> m.get(ItemKind.SERVICE).get("moving"))
                .filter(item -> item.version().number() < stood)
                .ifPresent(item -> wrong.add(item.version().number() + " read where " + stood + " stood"));
    }
}
