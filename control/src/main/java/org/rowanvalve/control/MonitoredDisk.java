package org.rowanvalve.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Loop;

/**
 * A disk that knows how long it has been behind, so that its owner can say so instead of keeping others waiting. Rows
 * that could not be saved are owed: they go along with whatever is saved next, so that a yes covers all before it.
 */
public final class MonitoredDisk implements Disk {
    private static final long PROBE = 300;
    private final Disk disk;
    private final Loop loop;
    private final TreeMap<Long, Long> open = new TreeMap<>();
    private final Map<String, byte[]> owed = new HashMap<>();
    private final Map<String, Long> last = new HashMap<>();
    private long serial;
    private long failed = -1;
    private long tried;

    public MonitoredDisk(final Disk disk, final Loop loop) {
        this.disk = disk;
        this.loop = loop;
    }

    /** Stalled or failing for the stated time; one that fails is still tried now and then. */
    public boolean stuck() {
        final long now = loop.now();
        final boolean slow = !open.isEmpty() && now - open.firstEntry().getValue() >= StoreHealth.HUSH;
        return slow || failed >= 0 && now - failed >= StoreHealth.HUSH && now - tried < PROBE;
    }

    @Override
    public Map<String, byte[]> load() throws DiskTrouble {
        return disk.load();
    }

    @Override
    public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
        final long mine = ++serial;
        final Map<String, byte[]> all = new HashMap<>(owed);
        all.putAll(rows);
        owed.clear();
        all.keySet().forEach(k -> last.put(k, mine));
        tried = loop.now();
        open.put(mine, tried);
        disk.save(all, ok -> {
            open.remove(mine);
            all.forEach((k, v) -> {
                if (last.remove(k, mine) && !ok) {
                    owed.put(k, v);
                }
            });
            failed = ok ? -1 : failed < 0 ? loop.now() : failed;
            if (!ok) {
                loop.after(PROBE, this::settle);
            }
            done.accept(ok);
        });
    }

    private void settle() {
        if (!owed.isEmpty() && open.isEmpty()) {
            save(Map.of(), ok -> {});
        }
    }
}
