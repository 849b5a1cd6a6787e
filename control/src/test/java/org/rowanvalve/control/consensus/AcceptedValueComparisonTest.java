package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptedChecksumsRequest;
import org.rowanvalve.common.message.AcceptedChecksumsResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.control.voting.VotingSet;

/** Which accepted values a voter may learn as chosen from the checksums of the other voters. */
class AcceptedValueComparisonTest {
    private static final NodeId SELF = NodeId.of("a");
    private static final Ballot OLD = new Ballot(3, "w#1");
    private static final Ballot NEW = new Ballot(7, "x#1");
    private static final int VALUES = 200;

    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final Disk disk = new Disk();
    private final Map<NodeId, List<Register>> registersOfOthers = new HashMap<>();
    private final Set<NodeId> silent = new HashSet<>();
    private final List<Message> sent = new ArrayList<>();
    private final Map<ItemId, ChosenItem> learned = new HashMap<>();
    private final Set<ItemId> examined = new HashSet<>();
    private VotingConfiguration votingConfiguration;
    private AcceptorState state;
    private AcceptedValueComparison comparison;

    /** A disk that syncs at once or, while {@code held}, only when {@link #sync} is called. */
    private static final class Disk implements StableStorage {
        private final List<Runnable> pendingSyncs = new ArrayList<>();
        private boolean held;

        @Override
        public Map<String, byte[]> load() {
            return Map.of();
        }

        @Override
        public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
            pendingSyncs.add(() -> done.accept(true));
            if (!held) {
                sync();
            }
        }

        void sync() {
            final List<Runnable> ready = List.copyOf(pendingSyncs);
            pendingSyncs.clear();
            ready.forEach(Runnable::run);
        }
    }

    private void createVoter(final int voters, final Set<NodeId> stores) {
        final List<NodeId> ids = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            ids.add(NodeId.of(String.valueOf((char) ('a' + i))));
        }
        votingConfiguration = VotingConfiguration.of(new Quorum(ids, stores));
        state = new AcceptorState(new MonitoredStorage(disk, loop), new EventJournal(loop, 10));
        comparison = new AcceptedValueComparison(
                new VoterContext(SELF, "1", votingConfiguration, loop, this::request, new EventJournal(loop, 10)),
                state);
        ids.stream().filter(id -> !id.equals(SELF)).forEach(id -> registersOfOthers.put(id, new ArrayList<>()));
    }

    private void request(
            final NodeId recipient, final Message message, final long timeoutMs, final Consumer<Reply> callback) {
        sent.add(message);
        final int buckets = ((AcceptedChecksumsRequest) message).buckets();
        final Reply reply = silent.contains(recipient)
                ? Reply.failed(Reply.Failure.NO_RESPONSE)
                : Reply.of(new AcceptedChecksumsResponse(
                        AcceptorState.checksums(registersOfOthers.get(recipient), buckets)));
        loop.schedule(silent.contains(recipient) ? timeoutMs : 2, () -> callback.accept(reply));
    }

    private static ItemId id(final int number) {
        return new ItemId(ItemKind.ROUTE, "r" + number);
    }

    private static Register register(final int number, final Ballot ballot, final long version) {
        return new Register(ballot, ballot, new Item(id(number), new Version(version), "{}", false, "t" + version));
    }

    private void run() {
        comparison.run(
                chosen -> learned.put(chosen.item().id(), chosen), (Collection<ItemId> ids) -> examined.addAll(ids));
        loop.run(2000);
    }

    @Test
    void valuesAcceptedByAMajorityUnderOneBallotAreLearnedWithOneRequestPerVoter() {
        createVoter(3, Set.of());
        for (int i = 0; i < VALUES; i++) {
            state.put(register(i, OLD, 5));
            registersOfOthers.get(NodeId.of("b")).add(register(i, OLD, 5));
        }
        run();
        assertEquals(VALUES, learned.size());
        assertEquals(VALUES, examined.size());
        assertEquals(2, sent.size());
        assertEquals(OLD, learned.get(id(0)).ballot());
    }

    @Test
    void aValueThatOnlyThisVoterAcceptedIsNotChosen() {
        createVoter(3, Set.of());
        state.put(register(1, OLD, 5));
        run();
        assertEquals(Map.of(), learned);
        assertEquals(Set.of(id(1)), examined);
    }

    @Test
    void valuesWithDifferentBallotsOrVersionsDoNotMatch() {
        createVoter(3, Set.of());
        state.put(register(1, OLD, 5));
        state.put(register(2, OLD, 5));
        registersOfOthers.get(NodeId.of("b")).add(register(1, NEW, 5));
        registersOfOthers.get(NodeId.of("b")).add(register(2, OLD, 6));
        registersOfOthers.get(NodeId.of("c")).add(register(1, NEW, 5));
        run();
        assertEquals(Map.of(), learned);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void withFiveVotersTwoOthersMustMatch(final int matchingVoters) {
        createVoter(5, Set.of());
        state.put(register(1, OLD, 5));
        for (int i = 0; i < matchingVoters; i++) {
            registersOfOthers.get(NodeId.of(String.valueOf((char) ('b' + i)))).add(register(1, OLD, 5));
        }
        run();
        assertEquals(matchingVoters >= 2, learned.containsKey(id(1)));
    }

    @Test
    void aSingleVoterIsItsOwnMajority() {
        createVoter(1, Set.of());
        state.put(register(1, OLD, 5));
        run();
        assertEquals(Set.of(id(1)), learned.keySet());
        assertEquals(Set.of(id(1)), examined);
    }

    @Test
    void ifStoresAreNamedOneOfThemMustMatch() {
        createVoter(3, Set.of(NodeId.of("b")));
        state.put(register(1, OLD, 5));
        registersOfOthers.get(NodeId.of("c")).add(register(1, OLD, 5));
        run();
        assertEquals(Map.of(), learned);
        registersOfOthers.get(NodeId.of("b")).add(register(1, OLD, 5));
        run();
        assertEquals(Set.of(id(1)), learned.keySet());
    }

    /** A value that is not synced may be lost in a power failure, so it must not count towards a quorum. */
    @Test
    void noRequestIsSentBeforeTheOwnValuesAreSynced() {
        createVoter(3, Set.of());
        disk.held = true;
        state.put(register(1, OLD, 5));
        registersOfOthers.get(NodeId.of("b")).add(register(1, OLD, 5));
        comparison.run(chosen -> learned.put(chosen.item().id(), chosen), examined::addAll);
        loop.run(400);
        assertEquals(List.of(), sent);
        disk.sync();
        loop.run(100);
        assertEquals(Set.of(id(1)), learned.keySet());
    }

    @Test
    void aValueAcceptedAfterTheRoundBeganIsNotLearned() {
        createVoter(3, Set.of());
        disk.held = true;
        state.put(register(1, OLD, 5));
        registersOfOthers.get(NodeId.of("b")).add(register(1, NEW, 6));
        comparison.run(chosen -> learned.put(chosen.item().id(), chosen), examined::addAll);
        state.put(register(1, NEW, 6));
        disk.sync();
        loop.run(1000);
        assertEquals(Map.of(), learned);
    }

    @Test
    void answersOfAnotherEpochDoNotCount() {
        createVoter(3, Set.of());
        state.put(register(1, OLD, 5));
        registersOfOthers.get(NodeId.of("b")).add(register(1, OLD, 5));
        registersOfOthers.get(NodeId.of("c")).add(register(1, OLD, 5));
        comparison.run(chosen -> learned.put(chosen.item().id(), chosen), examined::addAll);
        final Item next = new Item(
                ItemId.VOTERS,
                new Version(1),
                org.rowanvalve.control.json.Json.write(new VotingSet(
                        List.of("a@1.1.1.1:1", "b@1.1.1.2:1", "d@1.1.1.4:1"),
                        List.of("a@1.1.1.1:1", "b@1.1.1.2:1", "c@1.1.1.3:1"))),
                false,
                "t");
        votingConfiguration.adopt(new ChosenItem(NEW, next));
        loop.run(1000);
        assertEquals(Map.of(), learned);
        assertEquals(Set.of(), examined);
    }

    /** One silent voter of three leaves a majority. Two leave none, and then the delay between rounds grows. */
    @Test
    void withoutAMajorityNothingIsExaminedAndRoundsBackOff() {
        createVoter(3, Set.of());
        state.put(register(1, OLD, 5));
        silent.addAll(registersOfOthers.keySet());
        for (int i = 0; i < 200; i++) {
            comparison.run(chosen -> learned.put(chosen.item().id(), chosen), examined::addAll);
            loop.run(50);
        }
        assertEquals(Set.of(), examined);
        assertTrue(sent.size() <= 20, sent.size() + " requests in ten seconds");
        silent.remove(NodeId.of("c"));
        loop.run(2000);
        run();
        assertEquals(Set.of(id(1)), examined);
    }

    @Test
    void bucketsOfTheSameItemAreTheSameOnEveryNode() {
        assertEquals(ItemDigest.bucket(id(1)), ItemDigest.bucket(id(1), ItemDigest.BUCKETS));
    }
}
