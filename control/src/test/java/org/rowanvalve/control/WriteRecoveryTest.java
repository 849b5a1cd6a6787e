package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Ver;

/** After a loss of all power: hundreds of values that were accepted, and nobody knows which of them were chosen. */
class WriteRecoveryTest {
    private static final int ITEMS = 500;
    private static final long ROUND_TRIPS = 150;
    private final Ticks loop = new Ticks();
    private final ItemStore held = new ItemStore(loop, new Journal(loop, 10));
    private final Map<ItemId, Msg.Slot> slots = new TreeMap<>();
    private final List<ItemId> begun = new ArrayList<>();
    private final Set<ItemId> open = new HashSet<>();
    private int most;

    private void accepted(final ItemId id) {
        final Ballot ballot = new Ballot(1, "w");
        slots.put(id, new Msg.Slot(ballot, ballot, new Item(id, new Ver(1), "{}", false, "t")));
    }

    private void read(final ItemId id, final Runnable done) {
        assertTrue(open.add(id), "twice at a time: " + id);
        begun.add(id);
        most = Math.max(most, open.size());
        loop.after(ROUND_TRIPS, () -> {
            open.remove(id);
            held.merge(new Msg.Chosen(slots.get(id).at(), slots.get(id).item()));
            done.run();
        });
    }

    private void start(final int rank) {
        for (int i = 0; i < ITEMS; i++) {
            accepted(new ItemId(Kind.PURGE, "h." + (1000 + i)));
        }
        accepted(ItemId.TENURE);
        new WriteRecovery(() -> true, () -> slots, held, this::read, loop, new Random(1), () -> rank).start();
    }

    @Test
    void aBoundedNumberIsReadAtATimeAndEachOnce() {
        start(0);
        loop.run(3000);
        assertEquals(ITEMS + 1, begun.size());
        assertEquals(ITEMS + 1, new HashSet<>(begun).size());
        assertEquals(WriteRecovery.MOST, most);
        assertTrue(open.isEmpty());
    }

    @Test
    void whatTheAuthorityNeedsComesFirst() {
        start(0);
        loop.run(10);
        assertEquals(ItemId.TENURE, begun.get(0));
    }

    @Test
    void twoVotersBeginAtDifferentEnds() {
        start(0);
        loop.run(10);
        final Set<ItemId> first = new HashSet<>(begun);
        final WriteRecoveryTest second = new WriteRecoveryTest();
        second.start(1);
        second.loop.run(300);
        first.retainAll(second.begun);
        assertEquals(Set.of(ItemId.TENURE), first);
        assertFalse(second.begun.isEmpty());
    }
}
