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

/** After a loss of all power: hundreds of values that were accepted, and nobody knows which of them were chosen. */
class UnfinishedWriteRecoveryTest {
    private static final int ITEMS = 500;
    private static final long ROUND_TRIPS_MS = 150;
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final ItemStore items = new ItemStore(loop, new EventJournal(loop, 10));
    private final Map<ItemId, Register> slots = new TreeMap<>();
    private final List<ItemId> begun = new ArrayList<>();
    private final Set<ItemId> open = new HashSet<>();
    private int most;
    private int comparisons;
    private int differing = ITEMS + 1;
    private long compareMs;
    private long readMs = ROUND_TRIPS_MS;

    private void accepted(final ItemId id) {
        accept(id, 1);
    }

    private void accept(final ItemId id, final long version) {
        final Ballot ballot = new Ballot(version, "w");
        slots.put(id, new Register(ballot, ballot, new Item(id, new Version(version), "{}", false, "t")));
    }

    private void announce(final ItemId id) {
        items.merge(new ChosenItem(slots.get(id).acceptedBallot(), slots.get(id).item()));
    }

    private void read(final ItemId id, final Consumer<Boolean> done) {
        assertTrue(open.add(id), "twice at a time: " + id);
        begun.add(id);
        most = Math.max(most, open.size());
        loop.schedule(readMs, () -> {
            open.remove(id);
            announce(id);
            done.accept(true);
        });
    }

    /** All values but the {@code differing} first ones are accepted by all voters alike. */
    private void compare(final Consumer<Collection<ItemId>> examined) {
        comparisons++;
        loop.schedule(compareMs, () -> {
            slots.values().stream()
                    .skip(differing)
                    .forEach(slot -> items.merge(new ChosenItem(slot.acceptedBallot(), slot.item())));
            examined.accept(List.copyOf(slots.keySet()));
        });
    }

    private void start(final int rank) {
        for (int i = 0; i < ITEMS; i++) {
            accepted(new ItemId(ItemKind.PURGE, "h." + (1000 + i)));
        }
        accepted(ItemId.LEADERSHIP);
        begin(rank);
    }

    private List<ItemId> unchosen() {
        return slots.entrySet().stream()
                .filter(slot ->
                        !items.knows(slot.getKey(), slot.getValue().item().version()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void begin(final int rank) {
        new UnfinishedWriteRecovery(
                        () -> true,
                        () -> slots,
                        this::unchosen,
                        items,
                        this::read,
                        this::compare,
                        loop,
                        new Random(1),
                        () -> rank,
                        new EventJournal(loop, 10),
                        UnfinishedWriteRecovery.FEW_VALUES)
                .start();
    }

    @Test
    void aBoundedNumberIsReadAtATimeAndEachOnce() {
        start(0);
        loop.run(3000);
        assertEquals(ITEMS + 1, begun.size());
        assertEquals(ITEMS + 1, new HashSet<>(begun).size());
        assertEquals(UnfinishedWriteRecovery.MAX_CONCURRENT_READS, most);
        assertTrue(open.isEmpty());
    }

    @Test
    void whatAllVotersAcceptedAlikeIsNotReadByBallot() {
        differing = 3;
        compareMs = 40;
        start(0);
        loop.run(3000);
        assertEquals(4, begun.size(), "those, and the leadership, which waits for no comparison");
        assertTrue(
                slots.keySet().stream().allMatch(id -> items.get(id).version().number() == 1));
    }

    @Test
    void aFewValuesAreReadAtOnce() {
        for (int i = 0; i < UnfinishedWriteRecovery.FEW_VALUES; i++) {
            accepted(new ItemId(ItemKind.PURGE, "h." + i));
        }
        begin(0);
        loop.run(10);
        assertEquals(UnfinishedWriteRecovery.FEW_VALUES, begun.size());
        assertEquals(0, comparisons);
    }

    @Test
    void writesThatAreUnderWayAreNotCompared() {
        begin(0);
        for (int i = 0; i < ITEMS; i++) {
            accepted(new ItemId(ItemKind.PURGE, "h." + i));
        }
        loop.run(140);
        assertEquals(0, comparisons);
        loop.run(400);
        assertTrue(comparisons > 0, "their proposer has gone");
    }

    /** The read of an earlier write ends after that write has become known, and is no reason to hurry with the next. */
    @Test
    void aReadThatEndsLateDoesNotHurryTheReadOfALaterWrite() {
        final ItemId id = new ItemId(ItemKind.PURGE, "h.1");
        accept(id, 1);
        readMs = 300;
        begin(0);
        loop.schedule(100, () -> announce(id));
        loop.run(5000);
        assertEquals(List.of(id), begun);
        accept(id, 2);
        loop.schedule(140, () -> announce(id));
        loop.run(1000);
        assertEquals(List.of(id), begun, "the second write was merely under way");
    }

    /** No other voter answers a comparison: after a while the values are read all the same. */
    @Test
    void aComparisonThatNobodyAnswersDoesNotHoldUpTheReadsForEver() {
        compareMs = 1_000_000;
        start(0);
        loop.run(1500);
        assertEquals(List.of(ItemId.LEADERSHIP), begun);
        loop.run(4000);
        assertEquals(ITEMS + 1, begun.size());
    }

    @Test
    void whatTheAuthorityNeedsComesFirst() {
        start(0);
        loop.run(10);
        assertEquals(ItemId.LEADERSHIP, begun.get(0));
    }

    @Test
    void twoVotersBeginAtDifferentEnds() {
        start(0);
        loop.run(60);
        assertEquals(UnfinishedWriteRecovery.MAX_CONCURRENT_READS, begun.size());
        final Set<ItemId> first = new HashSet<>(begun);
        final UnfinishedWriteRecoveryTest second = new UnfinishedWriteRecoveryTest();
        second.start(1);
        second.loop.run(300);
        first.retainAll(second.begun);
        assertEquals(Set.of(ItemId.LEADERSHIP), first);
        assertFalse(second.begun.isEmpty());
    }
}
