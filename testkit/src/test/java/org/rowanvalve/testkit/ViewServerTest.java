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

/** What an elector says to a node that asks whether it holds all. */
class ViewServerTest {
    private static final ItemId OPEN = new ItemId(ItemKind.PURGE, "open");
    private static final ChosenItem FIRST =
            new ChosenItem(new Ballot(1, "w"), Item.none(OPEN).successor("{}", "t1"));
    private final Clock clock = new Clock();
    private final ItemStore items = new ItemStore(clock, new EventJournal(clock, 10));
    private final List<MissingItemsResponse> said = new ArrayList<>();
    private Acceptor acceptor;
    private ViewServer desk;

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

        void run(final long to) {
            while (!jobs.isEmpty() && jobs.peek().getKey() <= to) {
                final Map.Entry<Long, Runnable> entry = jobs.poll();
                now = entry.getKey();
                entry.getValue().run();
            }
            now = to;
        }
    }

    private record Kept(Map<String, byte[]> rows) implements StableStorage {
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
                MessageCodec.encode(Map.of("founders", Map.of("e1", "b1"), "floor", 0, "lives", 0)),
                "e/" + OPEN.text(),
                MessageCodec.encode(new Register(FIRST.ballot(), FIRST.ballot(), FIRST.item()))));
        final NodeId self = NodeId.of("e1");
        acceptor = new Acceptor(
                self,
                VotingConfiguration.of(new Quorum(List.of(self), Set.of())),
                clock,
                (recipient, msg, wait, then) -> {},
                new MonitoredStorage(kept, clock),
                new EventJournal(clock, 10),
                "b1",
                true,
                () -> false);
        acceptor.start();
        assertTrue(acceptor.hasState());
        desk = new ViewServer(acceptor, items, clock);
    }

    private void ask(final ItemId... about) {
        desk.onMissingItemsRequest(
                new MissingItemsRequest(
                        0,
                        java.util.Arrays.stream(about).map(ItemDigest::bucket).toList(),
                        Map.of()),
                m -> said.add((MissingItemsResponse) m));
    }

    @Test
    void anOpenWriteIsWaitedForAndGiven() {
        ask(OPEN);
        clock.run(100);
        assertEquals(List.of(), said);
        items.merge(FIRST);
        clock.run(120);
        assertTrue(said.get(0).complete());
        assertEquals(List.of(FIRST), said.get(0).items());
    }

    @Test
    void aWriteThatStaysOpenIsNeverPassedOver() {
        ask(OPEN);
        clock.run(1000);
        assertEquals(1, said.size());
        assertFalse(said.get(0).complete());
    }

    @Test
    void aWriteThatCameAfterTheQuestionIsNotWaitedFor() {
        items.merge(FIRST);
        ask(OPEN);
        assertTrue(said.get(0).complete());
        ask(OPEN);
        acceptor.accept(new AcceptRequest(0, new Ballot(2, "w"), FIRST.item().successor("{}", "t2"), null), m -> {});
        assertTrue(said.get(1).complete());
        ask(OPEN);
        assertEquals(2, said.size());
    }
}
