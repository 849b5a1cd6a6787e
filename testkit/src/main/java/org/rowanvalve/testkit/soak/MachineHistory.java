package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What was done to which machine when, and which machines are meant to be down. Safe for many threads. */
final class MachineHistory {
    /**
     * A time in which something was done to one machine.
     *
     * @param from milliseconds since the epoch, as {@code to}
     */
    record Interval(DisturbanceKind kind, String machine, long from, long to) {
        boolean overlaps(final long start, final long end) {
            return from <= end && to >= start;
        }
    }

    private final List<Interval> intervals = new ArrayList<>();
    private final Set<String> down = ConcurrentHashMap.newKeySet();

    synchronized void add(final DisturbanceKind kind, final String machine, final long from, final long to) {
        intervals.add(new Interval(kind, machine, from, to));
    }

    /** From now on its process may be missing. */
    void expectDown(final String machine) {
        down.add(machine);
    }

    void expectUp(final String machine) {
        down.remove(machine);
    }

    boolean isExpectedUp(final String machine) {
        return !down.contains(machine);
    }

    /** The graceful shutdowns of a machine that were under way at some time from {@code start} to {@code end}. */
    synchronized List<Interval> shutdowns(final String machine, final long start, final long end) {
        return intervals.stream()
                .filter(i -> i.kind() == DisturbanceKind.TERMINATE)
                .filter(i -> i.machine().equals(machine) && i.overlaps(start, end))
                .toList();
    }

    /** Whether anything but graceful shutdowns and reloads happened to a machine from {@code start} to {@code end}. */
    synchronized boolean isDisturbed(final String machine, final long start, final long end) {
        return intervals.stream()
                .filter(i -> i.kind() != DisturbanceKind.TERMINATE
                        && i.kind() != DisturbanceKind.RELOAD
                        && i.kind() != DisturbanceKind.RELOAD_INVALID)
                .anyMatch(i -> i.machine().equals(machine) && i.overlaps(start, end));
    }
}
