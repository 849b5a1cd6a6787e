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

/** A lost voter state is rebuilt however long the transfer of its registers takes, and the others vote meanwhile. */
class AcceptorStateRecoveryTest {
    private static final NodeId LOST = NodeId.of("a");
    private static final List<NodeId> ALL = List.of(LOST, NodeId.of("b"), NodeId.of("c"));
    private static final ItemId ITEM = new ItemId(ItemKind.ROUTE, "r");
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 100);
    private final Map<NodeId, Acceptor> voters = new HashMap<>();
    private long transferMs = 10;
    /** Encoded bytes of all responses. */
    private long transferredBytes;

    private final Set<NodeId> disconnected = new HashSet<>();

    /** Responses with registers take {@code transferMs}, all other messages take 1 ms. */
    private final class SimulatedTransport implements Transport {
        private final NodeId self;

        SimulatedTransport(final NodeId self) {
            this.self = self;
        }

        @Override
        public void request(
                final NodeId recipient, final Message message, final long timeoutMs, final Consumer<Reply> callback) {
            final boolean[] completed = {false};
            loop.schedule(timeoutMs, () -> complete(completed, callback, Reply.failed(Reply.Failure.NO_RESPONSE)));
            if (disconnected.contains(recipient)) {
                return;
            }
            loop.schedule(
                    1,
                    () -> answer(
                            recipient,
                            message,
                            response -> loop.schedule(
                                    response instanceof StateTransferResponse transfer
                                                    && !transfer.registers().isEmpty()
                                            ? transferMs
                                            : 1,
                                    () -> complete(completed, callback, Reply.of(limitToFrame(response))))));
        }

        /**
         * Replaces a response that exceeds the size limit of a frame by a rejection, as the transport between processes
         * does.
         */
        private Message limitToFrame(final Message message) {
            final int bytes = MessageCodec.encode(
                            new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 1, 1, self, message))
                    .length;
            transferredBytes += bytes;
            return bytes > MessageCodec.MAX_FRAME_BYTES ? new RejectedResponse("larger than a frame") : message;
        }

        private void answer(final NodeId recipient, final Message message, final Consumer<Message> callback) {
            if (message instanceof StateTransferRequest request && voters.containsKey(recipient)) {
                voters.get(recipient).transferState(self, request, callback);
            }
        }
    }

    private static void complete(final boolean[] completed, final Consumer<Reply> callback, final Reply reply) {
        if (!completed[0]) {
            completed[0] = true;
            callback.accept(reply);
        }
    }

    private final class InMemoryStorage implements StableStorage {
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

    private Acceptor start(final NodeId id, final boolean firstStart) throws StorageException {
        final Acceptor acceptor = new Acceptor(
                id,
                VotingConfiguration.of(new Quorum(ALL, Set.of())),
                loop,
                new SimulatedTransport(id),
                new MonitoredStorage(new InMemoryStorage(), loop),
                journal,
                id + (firstStart ? "1" : "2"),
                firstStart,
                () -> true);
        voters.put(id, acceptor);
        acceptor.start();
        return acceptor;
    }

    private void foundNetwork() throws StorageException {
        for (final NodeId id : ALL) {
            start(id, true);
        }
        loop.run(5000);
        voters.values().forEach(v -> assertTrue(v.hasState()));
    }

    private Optional<Message> accept(final NodeId voter, final long round) {
        final List<Message> responses = new ArrayList<>();
        final Ballot ballot = new Ballot(round, "w");
        final Item item = new Item(ITEM, new Version(round), "{}", false, "t" + round);
        voters.get(voter).accept(new AcceptRequest(0, ballot, item, null), responses::add);
        loop.run(10);
        return responses.stream().findFirst();
    }

    @Test
    void aResponseThatTakesSecondsIsAwaited() throws StorageException {
        foundNetwork();
        transferMs = 2500;
        accept(ALL.get(1), 5);
        accept(ALL.get(2), 5);
        final Acceptor restarted = start(LOST, false);
        loop.run(12_000);
        assertTrue(restarted.hasState());
        assertEquals(new Version(5), restarted.registers().get(ITEM).item().version());
    }

    @Test
    void repeatedRequestsOfOneIncarnationDoNotRaiseTheFloorAgain() throws StorageException {
        foundNetwork();
        accept(ALL.get(1), 5);
        accept(ALL.get(2), 5);
        transferMs = 60_000;
        final Acceptor restarted = start(LOST, false);
        loop.run(3000);
        final AcceptResponse higher = (AcceptResponse) accept(ALL.get(1), 100).orElseThrow();
        assertTrue(higher.accepted());
        loop.run(6000);
        final AcceptResponse afterRepeatedRequests =
                (AcceptResponse) accept(ALL.get(1), 100).orElseThrow();
        assertTrue(afterRepeatedRequests.accepted(), "a repeated request raised the floor again");
        assertFalse(restarted.hasState());
        assertFalse(
                ((AcceptResponse) accept(ALL.get(1), 4).orElseThrow()).accepted(),
                "a ballot from before the loss was accepted");
    }

    /**
     * Lets the two voters that keep their state accept this many items, with bodies as long as those of the users'
     * platform. Returns the length of all bodies.
     */
    private long acceptItems(final int items) {
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

    /**
     * Guards against a wiped voter that never finishes reading a state of more than one message, and against a full
     * transfer from the second voter after the one from the first.
     */
    @ParameterizedTest
    @ValueSource(ints = {1000, 6000, 9600, 12_000, 40_000})
    void aStateLargerThanAMessageIsTransferredOnlyOnce(final int items) throws StorageException {
        foundNetwork();
        final long bytes = acceptItems(items);
        transferredBytes = 0;
        final Acceptor restarted = start(LOST, false);
        loop.run(2000 + 12L * items / 100);
        assertTrue(restarted.hasState(), items + " items");
        assertEquals(items, restarted.registers().size());
        assertTrue(transferredBytes < 100_000 + 1.5 * bytes, items + " items: " + transferredBytes + " bytes");
    }

    /** Guards against a copy that starts over when its source is disconnected in the middle of the transfer. */
    @Test
    void anInterruptedCopyResumesAtItsPosition() throws StorageException {
        foundNetwork();
        final long bytes = acceptItems(20_000);
        transferredBytes = 0;
        final Acceptor restarted = start(LOST, false);
        for (int i = 0; i < 8; i++) {
            final NodeId source = ALL.get(1 + i % 2);
            loop.run(300);
            disconnected.add(source);
            loop.run(700);
            disconnected.remove(source);
        }
        loop.run(10_000);
        assertTrue(restarted.hasState());
        assertEquals(20_000, restarted.registers().size());
        assertTrue(transferredBytes < 200_000 + 2.5 * bytes, transferredBytes + " bytes of " + bytes);
    }

    /**
     * Guards against incompatibility with voters of an earlier release, which request and send all registers at once.
     */
    @Test
    void aRequestWithoutAPositionGetsAllRegisters() throws StorageException {
        foundNetwork();
        acceptItems(100);
        final List<Message> answers = new ArrayList<>();
        voters.get(ALL.get(1)).transferState(LOST, new StateTransferRequest(0, "old", true, false), answers::add);
        loop.run(10);
        final StateTransferResponse response = (StateTransferResponse) answers.get(0);
        assertEquals(100, response.registers().size());
        assertEquals(null, response.next());
    }
}
