package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.message.StateTransferResponse;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;

/** A lost memory is rebuilt however long the answer with all registers takes, and the others go on voting meanwhile. */
class AcceptorStateRecoveryTest {
    private static final NodeId LOST = NodeId.of("a");
    private static final List<NodeId> ALL = List.of(LOST, NodeId.of("b"), NodeId.of("c"));
    private static final ItemId ITEM = new ItemId(ItemKind.ROUTE, "r");
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 100);
    private final Map<NodeId, Acceptor> voters = new HashMap<>();
    private long transferMs = 10;

    /** Small answers take a moment, those with registers as long as their bytes need. */
    private final class Wires implements Transport {
        private final NodeId self;

        Wires(final NodeId self) {
            this.self = self;
        }

        @Override
        public void request(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
            final boolean[] over = {false};
            loop.schedule(wait, () -> end(over, then, Reply.failed(Reply.Failure.NO_RESPONSE)));
            loop.schedule(
                    1,
                    () -> answer(
                            recipient,
                            msg,
                            m -> loop.schedule(
                                    m instanceof StateTransferResponse all
                                                    && !all.registers().isEmpty()
                                            ? transferMs
                                            : 1,
                                    () -> end(over, then, Reply.of(m)))));
        }

        private void answer(final NodeId recipient, final Message msg, final Consumer<Message> back) {
            if (msg instanceof StateTransferRequest ask && voters.containsKey(recipient)) {
                voters.get(recipient).transferState(self, ask, back);
            }
        }
    }

    private static void end(final boolean[] over, final Consumer<Reply> then, final Reply reply) {
        if (!over[0]) {
            over[0] = true;
            then.accept(reply);
        }
    }

    private final class Memory implements StableStorage {
        private final Map<String, byte[]> rows = new HashMap<>();

        @Override
        public Map<String, byte[]> load() {
            return Map.copyOf(rows);
        }

        @Override
        public void save(final Map<String, byte[]> added, final Consumer<Boolean> done) {
            rows.putAll(added);
            loop.schedule(1, () -> done.accept(true));
        }
    }

    private Acceptor start(final NodeId id, final boolean first) throws StorageException {
        final Acceptor acceptor = new Acceptor(
                id,
                VotingConfiguration.of(new Quorum(ALL, Set.of())),
                loop,
                new Wires(id),
                new MonitoredStorage(new Memory(), loop),
                journal,
                id + (first ? "1" : "2"),
                first,
                () -> true);
        voters.put(id, acceptor);
        acceptor.start();
        return acceptor;
    }

    private void found() throws StorageException {
        for (final NodeId id : ALL) {
            start(id, true);
        }
        loop.run(5000);
        voters.values().forEach(v -> assertTrue(v.hasState()));
    }

    private Optional<Message> accept(final NodeId voter, final long round) {
        final List<Message> got = new ArrayList<>();
        final Ballot ballot = new Ballot(round, "w");
        final Item item = new Item(ITEM, new Version(round), "{}", false, "t" + round);
        voters.get(voter).accept(new AcceptRequest(0, ballot, item, null), got::add);
        loop.run(10);
        return got.stream().findFirst();
    }

    @Test
    void anAnswerThatTakesSecondsIsWaitedFor() throws StorageException {
        found();
        transferMs = 2500;
        accept(ALL.get(1), 5);
        accept(ALL.get(2), 5);
        final Acceptor back = start(LOST, false);
        loop.run(12_000);
        assertTrue(back.hasState());
        assertEquals(new Version(5), back.registers().get(ITEM).item().version());
    }

    @Test
    void repeatedReadingsOfOneStartBarNothingThatBeganAfterTheFirst() throws StorageException {
        found();
        accept(ALL.get(1), 5);
        accept(ALL.get(2), 5);
        transferMs = 60_000;
        final Acceptor back = start(LOST, false);
        loop.run(3000);
        final AcceptResponse above = (AcceptResponse) accept(ALL.get(1), 100).orElseThrow();
        assertTrue(above.accepted());
        loop.run(6000);
        final AcceptResponse next = (AcceptResponse) accept(ALL.get(1), 100).orElseThrow();
        assertTrue(next.accepted(), "the floor is not raised by a repeated reading");
        assertFalse(back.hasState());
        assertFalse(
                ((AcceptResponse) accept(ALL.get(1), 4).orElseThrow()).accepted(),
                "what came before the loss is barred");
    }
}
