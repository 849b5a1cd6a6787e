package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.RejectedResponse;
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
    /** Bytes of all answers that bear registers. */
    private long transferredBytes;

    private final Set<NodeId> cut = new HashSet<>();

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
            if (cut.contains(recipient)) {
                return;
            }
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
                                    () -> end(over, then, Reply.of(carried(m))))));
        }

        /** An answer that is larger than a message may be is replaced, as between processes. */
        private Message carried(final Message message) {
            final int bytes = MessageCodec.encode(
                            new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 1, 1, self, message))
                    .length;
            transferredBytes += bytes;
            return bytes > MessageCodec.MAX_FRAME_BYTES ? new RejectedResponse("larger than a frame") : message;
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

    /** The two voters that stay accept so many items with bodies as long as those of the users' platform. */
    private long fill(final int items) {
        final String body = "b".repeat(430);
        for (int i = 0; i < items; i++) {
            final Item item = new Item(new ItemId(ItemKind.ROUTE, "r" + i), new Version(1), body, false, "t" + i);
            for (final NodeId voter : ALL.subList(1, 3)) {
                voters.get(voter).accept(new AcceptRequest(0, new Ballot(5, "w"), item, null), answer -> {});
            }
        }
        loop.run(1000);
        return 430L * items;
    }

    /** Guards against a wiped voter that never reads a state of more than one message (review, case 3). */
    @ParameterizedTest
    @ValueSource(ints = {1000, 6000, 9600, 12_000, 40_000})
    void aStateLargerThanAMessageIsReadAndTheSecondVoterIsNotReadAgain(final int items) throws StorageException {
        found();
        final long bytes = fill(items);
        transferredBytes = 0;
        final Acceptor back = start(LOST, false);
        loop.run(2000 + 12L * items / 100);
        assertTrue(back.hasState(), items + " items");
        assertEquals(items, back.registers().size());
        assertTrue(transferredBytes < 100_000 + 1.5 * bytes, items + " items: " + transferredBytes + " bytes");
    }

    /** Guards against a copy that begins anew where its source is cut off in the midst. */
    @Test
    void aCopyGoesOnWhereItStopped() throws StorageException {
        found();
        final long bytes = fill(20_000);
        transferredBytes = 0;
        final Acceptor back = start(LOST, false);
        for (int i = 0; i < 8; i++) {
            final NodeId source = ALL.get(1 + i % 2);
            loop.run(300);
            cut.add(source);
            loop.run(700);
            cut.remove(source);
        }
        loop.run(10_000);
        assertTrue(back.hasState());
        assertEquals(20_000, back.registers().size());
        assertTrue(transferredBytes < 200_000 + 2.5 * bytes, transferredBytes + " bytes of " + bytes);
    }

    /** Guards against a voter of an earlier release that asks for all registers at once, or gives them so. */
    @Test
    void aRequestWithoutAPositionGetsAllRegisters() throws StorageException {
        found();
        fill(100);
        final List<Message> answers = new ArrayList<>();
        voters.get(ALL.get(1)).transferState(LOST, new StateTransferRequest(0, "old", true, false), answers::add);
        loop.run(10);
        final StateTransferResponse all = (StateTransferResponse) answers.get(0);
        assertEquals(100, all.registers().size());
        assertEquals(null, all.next());
    }
}
