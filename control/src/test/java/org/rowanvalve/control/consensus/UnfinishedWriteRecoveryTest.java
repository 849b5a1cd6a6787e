package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.store.ItemStore;

/**
 * Tests recovery after a power failure of all nodes: a voter has hundreds of accepted values and no node knows which of
 * them are chosen.
 */
class UnfinishedWriteRecoveryTest {
    private static final int ITEMS = 500;
    private static final long DEFAULT_READ_MS = 150;
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final ItemStore items = new ItemStore(loop, new EventJournal(loop, 10));
    private final Map<ItemId, Register> registers = new TreeMap<>();
    private final List<ItemId> startedReads = new ArrayList<>();
    private final Set<ItemId> openReads = new HashSet<>();
    private int maxOpenReads;
    private int comparisons;
    private int differing = ITEMS + 1;
    private long comparisonMs;
    private long readMs = DEFAULT_READ_MS;

    private void accept(final ItemId id) {
        accept(id, 1);
    }

    private void accept(final ItemId id, final long version) {
        final Ballot ballot = new Ballot(version, "w");
        registers.put(id, new Register(ballot, ballot, new Item(id, new Version(version), "{}", false, "t")));
    }

    private void announce(final ItemId id) {
        items.merge(new ChosenItem(
                registers.get(id).acceptedBallot(), registers.get(id).item()));
    }

    private void read(final ItemId id, final Consumer<Boolean> done) {
        assertTrue(openReads.add(id), "concurrent reads of " + id);
        startedReads.add(id);
        maxOpenReads = Math.max(maxOpenReads, openReads.size());
        loop.schedule(readMs, () -> {
            openReads.remove(id);
            announce(id);
            done.accept(true);
        });
    }

    /** Simulates a comparison in which all voters have accepted the same values, except for the first {@code differing}. */
    private void compare(final Consumer<Collection<ItemId>> examined) {
        comparisons++;
        loop.schedule(comparisonMs, () -> {
            registers.values().stream()
                    .skip(differing)
                    .forEach(register -> items.merge(new ChosenItem(register.acceptedBallot(), register.item())));
            examined.accept(List.copyOf(registers.keySet()));
        });
    }

    private void acceptAllAndStart(final int rank) {
        for (int i = 0; i < ITEMS; i++) {
            accept(new ItemId(ItemKind.PURGE, "h." + (1000 + i)));
        }
        accept(ItemId.LEADERSHIP);
        startRecovery(rank);
    }

    private List<ItemId> unchosen() {
        return registers.entrySet().stream()
                .filter(entry ->
                        !items.knows(entry.getKey(), entry.getValue().item().version()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void startRecovery(final int rank) {
        new UnfinishedWriteRecovery(
                        () -> true,
                        () -> registers,
                        this::unchosen,
                        items,
                        this::read,
                        this::compare,
                        loop,
                        new Random(1),
                        () -> rank,
                        new EventJournal(loop, 10),
                        UnfinishedWriteRecovery.COMPARISON_THRESHOLD)
                .start();
    }

    @Test
    void concurrentReadsAreBoundedAndEachValueIsReadOnce() {
        acceptAllAndStart(0);
        loop.run(3000);
        assertEquals(ITEMS + 1, startedReads.size());
        assertEquals(ITEMS + 1, new HashSet<>(startedReads).size());
        assertEquals(UnfinishedWriteRecovery.MAX_CONCURRENT_READS, maxOpenReads);
        assertTrue(openReads.isEmpty());
    }

    @Test
    void valuesThatAllVotersAcceptedAreNotReadByBallot() {
        differing = 3;
        comparisonMs = 40;
        acceptAllAndStart(0);
        loop.run(3000);
        assertEquals(
                4,
                startedReads.size(),
                "the three differing values, and the leadership, which waits for no comparison");
        assertTrue(registers.keySet().stream()
                .allMatch(id -> items.get(id).version().number() == 1));
    }

    @Test
    void aSmallNumberOfValuesIsReadWithoutComparison() {
        for (int i = 0; i < UnfinishedWriteRecovery.COMPARISON_THRESHOLD; i++) {
            accept(new ItemId(ItemKind.PURGE, "h." + i));
        }
        startRecovery(0);
        loop.run(10);
        assertEquals(UnfinishedWriteRecovery.COMPARISON_THRESHOLD, startedReads.size());
        assertEquals(0, comparisons);
    }

    @Test
    void writesInProgressAreNotCompared() {
        startRecovery(0);
        for (int i = 0; i < ITEMS; i++) {
            accept(new ItemId(ItemKind.PURGE, "h." + i));
        }
        loop.run(140);
        assertEquals(0, comparisons);
        loop.run(400);
        assertTrue(comparisons > 0, "writes of a failed proposer are compared");
    }

    /**
     * Guards against an early read of a later write: the read of an earlier write ends after that write has become known
     * as chosen, and must not schedule another read.
     */
    @Test
    void aReadThatEndsLateDoesNotScheduleAReadOfALaterWrite() {
        final ItemId id = new ItemId(ItemKind.PURGE, "h.1");
        accept(id, 1);
        readMs = 300;
        startRecovery(0);
        loop.schedule(100, () -> announce(id));
        loop.run(5000);
        assertEquals(List.of(id), startedReads);
        accept(id, 2);
        loop.schedule(140, () -> announce(id));
        loop.run(1000);
        assertEquals(List.of(id), startedReads, "the second write completed without a read");
    }

    /** If no other voter answers the comparison, the values are read by ballot after a time-out. */
    @Test
    void anUnansweredComparisonDelaysReadsOnlyForAWhile() {
        comparisonMs = 1_000_000;
        acceptAllAndStart(0);
        loop.run(1500);
        assertEquals(List.of(ItemId.LEADERSHIP), startedReads);
        loop.run(4000);
        assertEquals(ITEMS + 1, startedReads.size());
    }

    @Test
    void leadershipIsReadFirst() {
        acceptAllAndStart(0);
        loop.run(10);
        assertEquals(ItemId.LEADERSHIP, startedReads.get(0));
    }

    @Test
    void votersOfEvenAndOddRankStartAtOppositeEnds() {
        acceptAllAndStart(0);
        loop.run(60);
        assertEquals(UnfinishedWriteRecovery.MAX_CONCURRENT_READS, startedReads.size());
        final Set<ItemId> first = new HashSet<>(startedReads);
        final UnfinishedWriteRecoveryTest second = new UnfinishedWriteRecoveryTest();
        second.acceptAllAndStart(1);
        second.loop.run(300);
        first.retainAll(second.startedReads);
        assertEquals(Set.of(ItemId.LEADERSHIP), first);
        assertFalse(second.startedReads.isEmpty());
    }
}
