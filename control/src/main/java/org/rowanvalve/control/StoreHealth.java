package org.rowanvalve.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.NodeId;

/** Which stores are heard from: what is accepted stands at both, or at one once the other has been silent for a while. */
public final class StoreHealth {
    public static final long HUSH = 400;
    private final Set<NodeId> all;
    private final Journal journal;
    private final Loop loop;
    private final Set<NodeId> silent = new TreeSet<>();
    private final Map<NodeId, Long> missed = new HashMap<>();
    private final Map<NodeId, Long> last = new HashMap<>();

    public StoreHealth(final Quorum quorum, final Loop loop, final Journal journal) {
        this.loop = loop;
        this.all = quorum.stores();
        this.journal = journal;
    }

    /** {@code waited}: how long the stores that are not among {@code synced} have been waited for. */
    public boolean enough(final Set<NodeId> synced, final long waited) {
        all.stream()
                .filter(s -> !synced.contains(s)
                        && (waited >= HUSH || loop.now() - missed.getOrDefault(s, loop.now()) >= HUSH))
                .forEach(this::failing);
        return all.stream().allMatch(s -> synced.contains(s) || silent.contains(s));
    }

    /** By its own word, or by ours. */
    public void failing(final NodeId store) {
        if (all.contains(store) && silent.add(store)) {
            journal.add(Event.of(Code.STORE_SILENT, "store", store.text()));
        }
    }

    /** Something sent at {@code at} was not answered; what beats tell counts too. */
    public void missed(final NodeId from, final long at) {
        if (last.getOrDefault(from, Long.MIN_VALUE) < at) {
            missed.putIfAbsent(from, at);
        }
    }

    public void alive(final NodeId from) {
        missed.remove(from);
        last.put(from, loop.now());
    }

    /** It synced something for us. */
    public void heard(final NodeId from) {
        alive(from);
        if (silent.remove(from)) {
            journal.add(Event.of(Code.STORE_HEARD, "store", from.text()));
        }
    }

    public boolean has(final NodeId id) {
        return all.contains(id);
    }

    public Set<NodeId> silent() {
        return Set.copyOf(silent);
    }
}
