package rv.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rv.base.Ballot;
import rv.base.Condition;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Kind;
import rv.base.Loop;
import rv.base.Member;
import rv.base.Msg;
import rv.base.NodeId;
import rv.base.Role;
import rv.control.Held;
import rv.control.Json;
import rv.control.Origin;
import rv.control.Service;
import rv.control.View;
import rv.data.Order;
import rv.data.Port;
import rv.data.Sender;
import rv.data.Setup;
import rv.rig.sim.World;

/** A shield's sends where origins have few slots. */
class SenderTest {
    private final World world = new World(1);
    private final Loop loop = world.loop();
    private final Journal journal = new Journal(loop, 500);
    private final Held held = new Held(loop, journal);
    private final View view = new View(held);
    private final Map<String, List<Consumer<Port.Got>>> asked = new java.util.TreeMap<>();
    private long ver;

    private void put(final ItemId id, final Object body) {
        held.merge(new Msg.Chosen(new Ballot(++ver, "x"), held.get(id).next(Json.text(body), "t" + ver)));
    }

    private Sender sender() {
        put(new ItemId(Kind.SERVICE, "desk"), new Service(Service.OPEN, 0, 1000, 2000, 0, 0, ""));
        for (final String o : List.of("a", "b")) {
            put(new ItemId(Kind.ORIGIN, o), new Origin("desk", "127.0.0.1", 80, o, "open", 0, 0, false, 1, "", 1, 0));
        }
        final Setup setup = Setup.of(new Member(NodeId.of("sh1"), Role.SHIELD, "", "127.0.0.1", 1, "b", Condition.READY, "")).build();
        final Port port = new Port() {
            @Override
            public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
                asked.computeIfAbsent(to.stamp(), k -> new ArrayList<>()).add(then);
                return () -> { };
            }

            @Override
            public String fault(final Origin to, final Send sent, final Got got) {
                return "";
            }
        };
        return new Sender(setup, loop, (to, msg, wait, then) -> { }, port, view, null,
            new Sender.Ties(() -> true, () -> false, List::of, () -> 1), journal);
    }

    private static Order order(final String id, final long cutoff) {
        return new Order(Order.NONE, new Port.Send("desk", "POST", "/x", id, null, new byte[0], "", 0), true, cutoff);
    }

    private static Port.Got got(final Port.End end) {
        return Port.Got.none(end, "said so");
    }

    /** Its core thread would turn for ever: the origin with a free slot is the one that has turned the request away. */
    @Test
    void aRequestTurnedAwayByTheOnlyFreeOriginWaitsForAnother() {
        final Sender sender = sender();
        final List<String> ends = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            sender.send(order("first" + i, 5000), s -> { });
            asked.values().forEach(l -> l.forEach(t -> t.accept(got(Port.End.WHOLE))));
            asked.clear();
        }
        IntStream.rangeClosed(1, 4).forEach(i -> sender.send(order("r" + i, 5000), s -> ends.add("r" + i + " " + s.got().end())));
        assertEquals(List.of(2, 2), asked.values().stream().map(List::size).toList());
        assertTimeoutPreemptively(Duration.ofSeconds(5), () -> asked.get("b").get(0).accept(got(Port.End.TURNED)));
        world.run(100);
        assertEquals(List.of(), ends);
        asked.get("a").get(0).accept(got(Port.End.LOST));
        world.run(200);
        assertEquals(3, asked.get("a").size());
        assertEquals(1, ends.size());
    }
}
