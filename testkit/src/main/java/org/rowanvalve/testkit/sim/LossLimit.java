package org.rowanvalve.testkit.sim;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * How many counted machines may be lost at once, and which are: a machine counts as lost while it is down, frozen or cut
 * off, and until its time to catch up is over after its return.
 */
public final class LossLimit {
    private final VirtualTime time;
    private final Predicate<String> counted;
    private final int bearable;
    private final long catchUpMs;
    private final Set<String> down = new HashSet<>();
    private final Map<String, Long> lostUntil = new TreeMap<>();

    LossLimit(final VirtualTime time, final Predicate<String> counted, final int bearable, final long catchUpMs) {
        this.time = time;
        this.counted = counted;
        this.bearable = bearable;
        this.catchUpMs = catchUpMs;
    }

    private Set<String> lost() {
        lostUntil.values().removeIf(until -> until <= time.now());
        final Set<String> all = new HashSet<>(lostUntil.keySet());
        all.addAll(down);
        return all;
    }

    /** Whether these machines may be lost beside those that are. */
    public boolean bears(final Collection<String> more) {
        final List<String> struck = more.stream().filter(counted).toList();
        final Set<String> all = lost();
        all.addAll(struck);
        return struck.isEmpty() || all.size() <= bearable;
    }

    /** Whether no machine counts as lost. */
    public boolean clear() {
        return lost().isEmpty();
    }

    /** It is down until it is said to be back. */
    void gone(final String machine) {
        if (counted.test(machine)) {
            down.add(machine);
        }
    }

    void lostFor(final String machine, final long ms) {
        if (counted.test(machine)) {
            lostUntil.merge(machine, time.now() + ms + catchUpMs, Math::max);
        }
    }

    /** It, or the one that takes its place, has started. */
    void back(final String machine) {
        down.remove(machine);
        lostFor(machine, 0);
    }
}
