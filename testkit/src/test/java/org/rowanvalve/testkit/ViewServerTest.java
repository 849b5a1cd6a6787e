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
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.MissingItemsResponse;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewServer;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;

/** Tests the responses of a voter to a node that requests missing items while a write is open. */
class ViewServerTest {
    private static final ItemId OPEN_ITEM = new ItemId(ItemKind.PURGE, "open");
    private static final ChosenItem FIRST_VALUE =
            new ChosenItem(new Ballot(1, "w"), Item.none(OPEN_ITEM).successor("{}", "t1"));
    private final Clock clock = new Clock();
    private final ItemStore items = new ItemStore(clock, new EventJournal(clock, 10));
    private final List<MissingItemsResponse> responses = new ArrayList<>();
    private Acceptor acceptor;
    private ViewServer viewServer;

    private static final class Clock implements EventLoop {
        private final PriorityQueue<Map.Entry<Long, Runnable>> jobs = new PriorityQueue<>(Map.Entry.comparingByKey());
        private long now;

        @Override
        public long now() {
            return now;
        }

        @Override
        public void schedule(final long ms, final Runnable job) {
            jobs.add(Map.entry(now + ms, job));
        }

        void run(final long untilMs) {
            while (!jobs.isEmpty() && jobs.peek().getKey() <= untilMs) {
                final Map.Entry<Long, Runnable> entry = jobs.poll();
                now = entry.getKey();
                entry.getValue().run();
            }
            now = untilMs;
        }
    }

    private record ReadOnlyStorage(Map<String, byte[]> rows) implements StableStorage {
        @Override
        public Map<String, byte[]> load() {
            return rows;
        }

        @Override
        public void save(final Map<String, byte[]> newRows, final Consumer<Boolean> done) {
            done.accept(true);
        }
    }

    @BeforeEach
    void startAcceptorWithOpenWrite() throws Exception {
        final ReadOnlyStorage storage = new ReadOnlyStorage(Map.of(
                "seal",
                MessageCodec.encode(Map.of("founders", Map.of("e1", "b1"), "floor", 0, "lives", 0)),
                "e/" + OPEN_ITEM.text(),
                MessageCodec.encode(new Register(FIRST_VALUE.ballot(), FIRST_VALUE.ballot(), FIRST_VALUE.item()))));
        final NodeId self = NodeId.of("e1");
        acceptor = new Acceptor(
                self,
                VotingConfiguration.of(new Quorum(List.of(self), Set.of())),
                clock,
                (recipient, message, timeoutMs, callback) -> {},
                new MonitoredStorage(storage, clock),
                new EventJournal(clock, 10),
                "b1",
                true,
                () -> false);
        acceptor.start();
        assertTrue(acceptor.hasState());
        viewServer = new ViewServer(acceptor, items, clock);
    }

    private void requestMissingItems(final ItemId... ids) {
        viewServer.onMissingItemsRequest(
                new MissingItemsRequest(
                        0, java.util.Arrays.stream(ids).map(ItemDigest::bucket).toList(), Map.of()),
                message -> responses.add((MissingItemsResponse) message));
    }

    @Test
    void theResponseWaitsForAnOpenWriteAndContainsIt() {
        requestMissingItems(OPEN_ITEM);
        clock.run(100);
        assertEquals(List.of(), responses);
        items.merge(FIRST_VALUE);
        clock.run(120);
        assertTrue(responses.get(0).complete());
        assertEquals(List.of(FIRST_VALUE), responses.get(0).items());
    }

    @Test
    void aResponseIsIncompleteWhileAWriteStaysOpen() {
        requestMissingItems(OPEN_ITEM);
        clock.run(1000);
        assertEquals(1, responses.size());
        assertFalse(responses.get(0).complete());
    }

    @Test
    void aWriteAcceptedAfterTheRequestIsNotWaitedFor() {
        items.merge(FIRST_VALUE);
        requestMissingItems(OPEN_ITEM);
        assertTrue(responses.get(0).complete());
        requestMissingItems(OPEN_ITEM);
        acceptor.accept(
                new AcceptRequest(0, new Ballot(2, "w"), FIRST_VALUE.item().successor("{}", "t2"), null), m -> {});
        assertTrue(responses.get(1).complete());
        requestMissingItems(OPEN_ITEM);
        assertEquals(2, responses.size());
    }
}
