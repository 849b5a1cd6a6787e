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
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.control.Json;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Operators who race over shared items at whole nodes, with lost answers, ends and cuts. */
class OrderDayTest {
    private static final List<String> SHIELDS = List.of("sh1", "sh2", "sh3", "sh4");

    private static SimCluster quiet(final long seed) {
        final SimCluster town =
                new SimCluster(seed % 2 == 0 ? Place.coastlineShields() : Place.kilimanjaroShields(), seed).open();
        town.orderOperator().stop();
        town.run(1000);
        return town;
    }

    private static String call(final long version, final String note, final String... names) {
        final Map<String, Object> services = new TreeMap<>();
        for (final String n : names) {
            services.put(n, Map.of("kind", "open", "note", note, "version", version));
        }
        return Json.text(Map.of("set", Map.of("services", services)));
    }

    private static Item item(final SimCluster town, final String node, final String name) {
        return town.node(node).node().held().get(new ItemId(Kind.SERVICE, name));
    }

    private static String shown(final Item item) {
        return item.ver().n() + " "
                + (item.live() ? Json.read(item.body(), Map.class).get("note") : "gone");
    }

    /** One that sends its call to any shield until an answer that is not lost is clear. */
    private static final class Operator {
        private final SimCluster town;
        private final Random dice;
        private final String text;
        private final double lost;
        private int turn;
        private int status;

        Operator(final SimCluster town, final Random dice, final String text, final double lost) {
            this.town = town;
            this.dice = dice;
            this.text = text;
            this.lost = lost;
        }

        void send() {
            final int mine = ++turn;
            final SimNode at = town.node(SHIELDS.get(dice.nextInt(SHIELDS.size())));
            final long life = at.life();
            if (at.alive()) {
                at.post(() -> at.node().orders().patch(text.getBytes(StandardCharsets.UTF_8), r -> {
                    if (at.life() == life && dice.nextDouble() >= lost && status == 0 && r.status() < 500) {
                        status = r.status();
                    }
                }));
            }
            town.world().in(1000, () -> {
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
        final SimCluster town = quiet(seed);
        final Random dice = new Random(seed);
        final Set<String> seen = new HashSet<>();
        town.nodes().values().forEach(n -> n.node().held().watch(i -> seen.add(shown(i))));
        final List<Operator> all = new ArrayList<>();
        for (int v = 1; v <= 3; v++) {
            final Operator one = new Operator(town, dice, call(v, "one" + v, "xa", "xb", "own1"), 0.8);
            final Operator two = new Operator(town, dice, call(v, "two" + v, "xb", "xa", "own2"), 0.8);
            all.addAll(List.of(one, two));
            one.send();
            town.world().in(dice.nextInt(120), two::send);
            town.run(dice.nextInt(400));
            final String victim = SHIELDS.get(dice.nextInt(SHIELDS.size()));
            if (dice.nextBoolean()) {
                town.power(victim, 1500);
            } else {
                town.freeze(victim, 2500);
            }
            town.run(6000);
            town.nodes().values().forEach(n -> n.node().held().watch(i -> seen.add(shown(i))));
        }
        town.run(40_000);
        for (int i = 0; i < all.size(); i += 2) {
            final int v = i / 2 + 1;
            assertEquals(Set.of(200, 409), Set.of(all.get(i).status, all.get(i + 1).status), "version " + v);
            final String lost = (all.get(i).status == 409 ? "one" : "two") + v;
            assertTrue(!seen.contains(v + " " + lost), lost + " was in force");
        }
        final Set<String> last = new HashSet<>();
        SHIELDS.forEach(n -> last.addAll(List.of(shown(item(town, n, "xa")), shown(item(town, n, "xb")))));
        assertEquals(1, last.size(), last.toString());
        assertTrue(last.iterator().next().startsWith("3 "));
    }

    /** Cut off from all others, a shield reads nothing back, refuses nothing and acknowledges nothing. */
    @Test
    void aShieldThatIsCutOffForTwentySecondsAnswersNothingFromWhatItKnew() {
        final SimCluster town = quiet(3);
        final List<String> wrong = new ArrayList<>();
        final int[] answers = new int[2];
        final Operator first = new Operator(town, new Random(1), call(1, "n1", "moving"), 0);
        first.send();
        town.run(1500);
        assertEquals(200, first.status);
        town.cut(List.of("sh4"), 20_000);
        for (int v = 2; v <= 80; v++) {
            final long now = v;
            final SimNode at = town.node(v % 2 == 0 ? "sh1" : "sh2");
            at.post(() -> at.node()
                    .orders()
                    .patch(call(now, "n" + now, "moving").getBytes(), r -> {
                        if (r.status() == 200) {
                            answers[0]++;
                        }
                    }));
            town.run(200);
            final long stood = item(town, "sh1", "moving").ver().n();
            final SimNode lost = town.node("sh4");
            final long asked = town.world().now();
            lost.post(() -> lost.node().orders().whole(all -> {
                answers[1]++;
                read(all, stood, wrong);
                if (town.world().now() - asked > 1000) {
                    wrong.add("read after " + (town.world().now() - asked));
                }
            }));
            lost.post(() -> lost.node()
                    .orders()
                    .patch(call(stood, "else", "moving").getBytes(), r -> {
                        answers[1]++;
                        if (r.status() != 503 && r.status() != 409) {
                            wrong.add("taken under a number that was taken " + r.status());
                        }
                    }));
            lost.post(() -> lost.node().orders().patch("{".getBytes(), r -> {
                answers[1]++;
                if (town.world().now() < asked + 700 && asked < 18_000 && r.status() != 503) {
                    wrong.add("refused out of contact " + r.status());
                }
            }));
            town.run(80);
        }
        town.run(4000);
        assertEquals(List.of(), wrong);
        assertTrue(answers[0] > 60, answers[0] + " changes");
        assertEquals(79 * 3, answers[1]);
    }

    private static void read(
            final Optional<Map<Kind, Map<String, Item>>> all, final long stood, final List<String> wrong) {
        all.map(m -> m.get(Kind.SERVICE).get("moving"))
                .filter(i -> i.ver().n() < stood)
                .ifPresent(i -> wrong.add(i.ver().n() + " read where " + stood + " stood"));
    }
}
