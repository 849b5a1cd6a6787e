package org.rowanvalve.control.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.control.voting.StoreHealth;

/**
 * Storage that detects a stalled or failing disk, so that its voter can reject requests instead of letting the callers
 * wait. Rows of a failed write are added to the next write, so that a successful write also covers all earlier rows.
 */
public final class MonitoredStorage implements StableStorage {
    private static final long PROBE_INTERVAL_MS = 300;
    private final StableStorage delegate;
    private final EventLoop loop;
    private final TreeMap<Long, Long> pendingWrites = new TreeMap<>();
    private final Map<String, byte[]> unsavedRows = new HashMap<>();
    private final Map<String, Long> lastWriteOf = new HashMap<>();
    private long lastWrite;
    private long failingSince = -1;
    private long lastAttemptAt;

    public MonitoredStorage(final StableStorage delegate, final EventLoop loop) {
        this.delegate = delegate;
        this.loop = loop;
    }

    /**
     * Whether the disk has been stalled or failing for {@link StoreHealth#SILENCE_TIMEOUT_MILLIS}. A failing disk is
     * not reported once the probe interval has passed since the last write, so that the next request tries it again.
     */
    public boolean isStalled() {
        final long now = loop.now();
        final boolean slow = !pendingWrites.isEmpty()
                && now - pendingWrites.firstEntry().getValue() >= StoreHealth.SILENCE_TIMEOUT_MILLIS;
        return slow
                || failingSince >= 0
                        && now - failingSince >= StoreHealth.SILENCE_TIMEOUT_MILLIS
                        && now - lastAttemptAt < PROBE_INTERVAL_MS;
    }

    @Override
    public Map<String, byte[]> load() throws StorageException {
        return delegate.load();
    }

    @Override
    public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
        final long write = ++lastWrite;
        final Map<String, byte[]> combined = new HashMap<>(unsavedRows);
        combined.putAll(rows);
        unsavedRows.clear();
        combined.keySet().forEach(key -> lastWriteOf.put(key, write));
        lastAttemptAt = loop.now();
        pendingWrites.put(write, lastAttemptAt);
        delegate.save(combined, ok -> {
            pendingWrites.remove(write);
            combined.forEach((key, value) -> {
                if (lastWriteOf.remove(key, write) && !ok) {
                    unsavedRows.put(key, value);
                }
            });
            failingSince = ok ? -1 : failingSince < 0 ? loop.now() : failingSince;
            if (!ok) {
                loop.schedule(PROBE_INTERVAL_MS, this::retryUnsaved);
            }
            done.accept(ok);
        });
    }

    private void retryUnsaved() {
        if (!unsavedRows.isEmpty() && pendingWrites.isEmpty()) {
            save(Map.of(), ok -> {});
        }
    }
}
