package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.runtime.StableStorage;

/** A machine's disk. What is not synced when the machine dies is gone. */
public final class SimStorage {
    private final VirtualTime time;
    private final long sync;
    private final Map<String, byte[]> rows = new TreeMap<>();
    private long stalled;
    private boolean full;
    private double factor = 1;
    private long syncs;

    public SimStorage(final VirtualTime time, final long sync) {
        this.time = time;
        this.sync = sync;
    }

    public void stall(final long until) {
        stalled = until;
    }

    /** Each sync takes {@code x} times as long. */
    public void slow(final double x) {
        factor = x;
    }

    public void full(final boolean on) {
        full = on;
    }

    public void lose() {
        rows.clear();
    }

    /** Whether a row is synced. */
    public boolean has(final String key) {
        return rows.containsKey(key);
    }

    public long syncs() {
        return syncs;
    }

    /** One process's hold on the disk; it ends with the process. */
    StableStorage open(final SimNode node) {
        return new Grip(node, node.life());
    }

    private final class Grip implements StableStorage {
        private final SimNode node;
        private final long life;
        private final List<Runnable> wait = new ArrayList<>();
        private boolean busy;

        Grip(final SimNode node, final long life) {
            this.node = node;
            this.life = life;
        }

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            final Map<String, byte[]> copy = new HashMap<>(some);
            wait.add(() -> {
                if (!full) {
                    copy.forEach((k, v) -> {
                        if (v == null) {
                            rows.remove(k);
                        } else {
                            rows.put(k, v);
                        }
                    });
                }
                final boolean ok = !full;
                node.execute(() -> done.accept(ok));
            });
            pump();
        }

        private void pump() {
            if (busy || wait.isEmpty()) {
                return;
            }
            busy = true;
            final List<Runnable> batch = new ArrayList<>(wait);
            wait.clear();
            time.at(Math.max(time.now(), stalled) + Math.round(sync * factor), () -> {
                if (node.life() == life && node.alive()) {
                    syncs++;
                    batch.forEach(Runnable::run);
                    busy = false;
                    pump();
                }
            });
        }
    }
}
