package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Wire;
import org.rowanvalve.control.Digest;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.MonitoredDisk;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.ViewServer;
import org.rowanvalve.control.Voter;

/** What an elector says to a node that asks whether it holds all. */
class DeskTest {
    private static final ItemId OPEN = new ItemId(Kind.PURGE, "open");
    private static final Msg.Chosen FIRST =
            new Msg.Chosen(new Ballot(1, "w"), Item.none(OPEN).next("{}", "t1"));
    private final Clock clock = new Clock();
    private final ItemStore held = new ItemStore(clock, new Journal(clock, 10));
    private final List<Msg.Give> said = new ArrayList<>();
    private Voter elector;
    private ViewServer desk;

    private static final class Clock implements Loop {
        private final PriorityQueue<Map.Entry<Long, Runnable>> jobs = new PriorityQueue<>(Map.Entry.comparingByKey());
        private long now;

        @Override
        public long now() {
            return now;
        }

        @Override
        public void after(final long ms, final Runnable job) {
            jobs.add(Map.entry(now + ms, job));
        }

        void run(final long to) {
            while (!jobs.isEmpty() && jobs.peek().getKey() <= to) {
                final Map.Entry<Long, Runnable> e = jobs.poll();
                now = e.getKey();
                e.getValue().run();
            }
            now = to;
        }
    }

    private record Kept(Map<String, byte[]> rows) implements Disk {
        @Override
        public Map<String, byte[]> load() {
            return rows;
        }

        @Override
        public void save(final Map<String, byte[]> more, final Consumer<Boolean> done) {
            done.accept(true);
        }
    }

    @BeforeEach
    void anElectorThatAcceptedAWrite() throws Exception {
        final Kept kept = new Kept(Map.of(
                "seal",
                Wire.pack(Map.of("founders", Map.of("e1", "b1"), "floor", 0, "lives", 0)),
                "e/" + OPEN.text(),
                Wire.pack(new Msg.Slot(FIRST.ballot(), FIRST.ballot(), FIRST.item()))));
        final NodeId self = NodeId.of("e1");
        elector = new Voter(
                self,
                Electorate.of(new Quorum(List.of(self), Set.of())),
                clock,
                (to, msg, wait, then) -> {},
                new MonitoredDisk(kept, clock),
                new Journal(clock, 10),
                "b1",
                true,
                () -> false);
        elector.start();
        assertTrue(elector.full());
        desk = new ViewServer(elector, held, clock);
    }

    private void ask(final ItemId... about) {
        desk.vers(
                new Msg.Vers(0, java.util.Arrays.stream(about).map(Digest::cell).toList(), Map.of()),
                m -> said.add((Msg.Give) m));
    }

    @Test
    void anOpenWriteIsWaitedForAndGiven() {
        ask(OPEN);
        clock.run(100);
        assertEquals(List.of(), said);
        held.merge(FIRST);
        clock.run(120);
        assertTrue(said.get(0).all());
        assertEquals(List.of(FIRST), said.get(0).list());
    }

    @Test
    void aWriteThatStaysOpenIsNeverPassedOver() {
        ask(OPEN);
        clock.run(1000);
        assertEquals(1, said.size());
        assertFalse(said.get(0).all());
    }

    @Test
    void aWriteThatCameAfterTheQuestionIsNotWaitedFor() {
        held.merge(FIRST);
        ask(OPEN);
        assertTrue(said.get(0).all());
        ask(OPEN);
        elector.accept(new Msg.Accept(0, new Ballot(2, "w"), FIRST.item().next("{}", "t2"), null), m -> {});
        assertTrue(said.get(1).all());
        ask(OPEN);
        assertEquals(2, said.size());
    }
}
