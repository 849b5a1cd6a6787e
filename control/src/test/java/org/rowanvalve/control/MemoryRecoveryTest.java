package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Ver;

/** A lost memory is rebuilt however long the answer with all registers takes, and the others go on voting meanwhile. */
class MemoryRecoveryTest {
    private static final NodeId LOST = NodeId.of("a");
    private static final List<NodeId> ALL = List.of(LOST, NodeId.of("b"), NodeId.of("c"));
    private static final ItemId ITEM = new ItemId(Kind.ROUTE, "r");
    private final Ticks loop = new Ticks();
    private final Journal journal = new Journal(loop, 100);
    private final Map<NodeId, Voter> voters = new HashMap<>();
    private long transferMs = 10;

    /** Small answers take a moment, those with registers as long as their bytes need. */
    private final class Wires implements Net {
        private final NodeId self;

        Wires(final NodeId self) {
            this.self = self;
        }

        @Override
        public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
            final boolean[] over = {false};
            loop.after(wait, () -> end(over, then, Reply.lost(Reply.Trouble.NO_ANSWER)));
            loop.after(
                    1,
                    () -> answer(
                            to,
                            msg,
                            m -> loop.after(
                                    m instanceof Msg.Memory all && !all.slots().isEmpty() ? transferMs : 1,
                                    () -> end(over, then, Reply.of(m)))));
        }

        private void answer(final NodeId to, final Msg msg, final Consumer<Msg> back) {
            if (msg instanceof Msg.Reread ask && voters.containsKey(to)) {
                voters.get(to).reread(self, ask, back);
            }
        }
    }

    private static void end(final boolean[] over, final Consumer<Reply> then, final Reply reply) {
        if (!over[0]) {
            over[0] = true;
            then.accept(reply);
        }
    }

    private final class Memory implements Disk {
        private final Map<String, byte[]> rows = new HashMap<>();

        @Override
        public Map<String, byte[]> load() {
            return Map.copyOf(rows);
        }

        @Override
        public void save(final Map<String, byte[]> added, final Consumer<Boolean> done) {
            rows.putAll(added);
            loop.after(1, () -> done.accept(true));
        }
    }

    private Voter start(final NodeId id, final boolean first) throws DiskTrouble {
        final Voter voter = new Voter(
                id,
                Electorate.of(new Quorum(ALL, Set.of())),
                loop,
                new Wires(id),
                new MonitoredDisk(new Memory(), loop),
                journal,
                id + (first ? "1" : "2"),
                first,
                () -> true);
        voters.put(id, voter);
        voter.start();
        return voter;
    }

    private void found() throws DiskTrouble {
        for (final NodeId id : ALL) {
            start(id, true);
        }
        loop.run(5000);
        voters.values().forEach(v -> assertTrue(v.full()));
    }

    private Optional<Msg> accept(final NodeId voter, final long round) {
        final Optional<Msg>[] got = new Optional[] {Optional.empty()};
        final Ballot ballot = new Ballot(round, "w");
        final Item item = new Item(ITEM, new Ver(round), "{}", false, "t" + round);
        voters.get(voter).accept(new Msg.Accept(0, ballot, item, null), m -> got[0] = Optional.of(m));
        loop.run(10);
        return got[0];
    }

    @Test
    void anAnswerThatTakesSecondsIsWaitedFor() throws DiskTrouble {
        found();
        transferMs = 2500;
        accept(ALL.get(1), 5);
        accept(ALL.get(2), 5);
        final Voter back = start(LOST, false);
        loop.run(12_000);
        assertTrue(back.full());
        assertEquals(new Ver(5), back.slots().get(ITEM).item().ver());
    }

    @Test
    void repeatedReadingsOfOneStartBarNothingThatBeganAfterTheFirst() throws DiskTrouble {
        found();
        accept(ALL.get(1), 5);
        accept(ALL.get(2), 5);
        transferMs = 60_000;
        final Voter back = start(LOST, false);
        loop.run(3000);
        final Msg.Accepted above = (Msg.Accepted) accept(ALL.get(1), 100).orElseThrow();
        assertTrue(above.ok());
        loop.run(6000);
        final Msg.Accepted next = (Msg.Accepted) accept(ALL.get(1), 100).orElseThrow();
        assertTrue(next.ok(), "the floor is not raised by a repeated reading");
        assertFalse(back.full());
        assertFalse(((Msg.Accepted) accept(ALL.get(1), 4).orElseThrow()).ok(), "what came before the loss is barred");
    }
}
