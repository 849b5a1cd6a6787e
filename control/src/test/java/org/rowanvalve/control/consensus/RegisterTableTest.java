package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.RegisterPosition;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.store.ItemDigest;

/** Every register that differs is on exactly one page, whatever the sizes of the registers are. */
class RegisterTableTest {
    private static final List<Long> NO_CHECKSUMS = Collections.nCopies(ItemDigest.BUCKETS, 0L);
    private final Random random = new Random(3);

    private static Register register(final int name, final long round, final int bytes) {
        return new Register(
                new Ballot(round, "w"),
                new Ballot(round, "w"),
                new Item(
                        new ItemId(ItemKind.ROUTE, "r" + name), new Version(1 + round), "b".repeat(bytes), false, "t"));
    }

    private static Set<ItemId> readAll(
            final RegisterTable table, final List<Long> checksums, final boolean withinBuckets) {
        final Set<ItemId> read = new TreeSet<>();
        RegisterPosition from = RegisterPosition.START;
        while (from != null) {
            final RegisterTable.Page page = table.page(checksums, from, withinBuckets);
            page.registers()
                    .forEach(register -> assertTrue(read.add(register.item().id()), "a register is read twice"));
            assertTrue(page.next() == null || !page.registers().isEmpty(), "a page makes no progress");
            from = page.next();
        }
        return read;
    }

    @Test
    void everyAcceptedRegisterIsOnOnePage() {
        final RegisterTable table = new RegisterTable();
        final Set<ItemId> accepted = new TreeSet<>();
        for (int i = 0; i < 3000; i++) {
            final Register register = register(i, random.nextInt(3), 1 + random.nextInt(i % 500 == 0 ? 400_000 : 600));
            table.put(register);
            if (register.acceptedBallot().round() > 0) {
                accepted.add(register.item().id());
            }
        }
        assertEquals(accepted, readAll(table, NO_CHECKSUMS, true));
        assertEquals(accepted, readAll(table, NO_CHECKSUMS, false));
        assertEquals(Set.of(), readAll(table, table.checksums(), true));
    }

    /** Guards against a page that is too large for a message because a single bucket is. */
    @Test
    void aPageStaysWithinItsSizeLimit() {
        final RegisterTable table = new RegisterTable();
        for (int i = 0; i < 20_000; i++) {
            table.put(register(i, 1, 500));
        }
        for (RegisterPosition from = RegisterPosition.START; from != null; ) {
            final RegisterTable.Page page = table.page(NO_CHECKSUMS, from, true);
            final int bytes = page.registers().stream()
                    .mapToInt(register -> register.item().approximateBytes())
                    .sum();
            assertTrue(bytes <= RegisterTable.PAGE_BYTES, bytes + " bytes");
            from = page.next();
        }
    }

    @Test
    void checksumsFollowEachChange() {
        final RegisterTable table = new RegisterTable();
        for (int i = 0; i < 5000; i++) {
            if (random.nextInt(4) == 0) {
                table.remove(new ItemId(ItemKind.ROUTE, "r" + random.nextInt(300)));
            } else {
                table.put(register(random.nextInt(300), random.nextInt(50), 10));
            }
        }
        assertEquals(AcceptorState.checksums(table.registers().values(), ItemDigest.BUCKETS), table.checksums());
        table.clear();
        assertEquals(NO_CHECKSUMS, table.checksums());
        assertEquals(0, table.digest().total());
    }
}
