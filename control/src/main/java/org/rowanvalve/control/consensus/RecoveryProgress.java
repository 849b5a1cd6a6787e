package org.rowanvalve.control.consensus;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.store.ItemStore;

/** Reports the progress of a voter after its start in learning which of its accepted values are chosen. */
final class RecoveryProgress {
    private static final long REPORT_INTERVAL_MS = 2000;
    private static final long CHECK_INTERVAL_MS = 50;
    private final EventLoop loop;
    private final EventJournal journal;
    private Supplier<Map<ItemId, Register>> registers;
    private ItemStore items;
    private Collection<ItemId> foundOnDisk;
    private long startedAt;
    private long lastReportAt;
    private long checkDueAt;
    private long worstDelayMs;
    private long reads;
    private long failedReads;
    private long openReads;

    RecoveryProgress(final EventLoop loop, final EventJournal journal) {
        this.loop = loop;
        this.journal = journal;
    }

    /** {@code registersFoundOnDisk}: the registers found on disk at the start; if there are none, nothing is reported. */
    void start(
            final Supplier<Map<ItemId, Register>> allRegisters,
            final ItemStore knownItems,
            final Collection<ItemId> registersFoundOnDisk) {
        registers = allRegisters;
        items = knownItems;
        foundOnDisk = registersFoundOnDisk;
        startedAt = loop.now();
        lastReportAt = startedAt;
        if (!foundOnDisk.isEmpty()) {
            scheduleCheck();
        }
    }

    void readBegun() {
        reads++;
        openReads++;
    }

    void readEnded(final boolean known) {
        openReads--;
        failedReads += known ? 0 : 1;
    }

    private void scheduleCheck() {
        checkDueAt = loop.now() + CHECK_INTERVAL_MS;
        loop.schedule(CHECK_INTERVAL_MS, this::check);
    }

    private void check() {
        worstDelayMs = Math.max(worstDelayMs, loop.now() - checkDueAt);
        if (foundOnDisk.stream().noneMatch(this::isUnknown)) {
            report(EventCode.RECOVERED, 0);
            return;
        }
        if (loop.now() - lastReportAt >= REPORT_INTERVAL_MS) {
            lastReportAt = loop.now();
            report(
                    EventCode.RECOVERING,
                    foundOnDisk.stream().filter(this::isUnknown).count());
            worstDelayMs = 0;
        }
        scheduleCheck();
    }

    private boolean isUnknown(final ItemId id) {
        final Register register = registers.get().get(id);
        return register != null && !items.knows(id, register.item().version());
    }

    private void report(final EventCode code, final long unknown) {
        final Optional<Item> largest = registers.get().values().stream()
                .map(Register::item)
                .max(Comparator.comparingInt(Item::approximateBytes));
        journal.add(Event.of(
                code,
                "registers",
                registers.get().size(),
                "unknown",
                unknown,
                "reads",
                reads,
                "failed",
                failedReads,
                "open",
                openReads,
                "lateMs",
                worstDelayMs,
                "largest",
                largest.map(item -> item.id().text()).orElse(""),
                "largestBytes",
                largest.map(Item::approximateBytes).orElse(0),
                "ms",
                loop.now() - startedAt));
    }
}
