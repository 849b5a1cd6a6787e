package org.rowanvalve.server.storage;

import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;

/** For voters without a disk: their state is the memory of the process. */
public record VolatileStorage(EventLoop loop) implements StableStorage {
    @Override
    public Map<String, byte[]> load() {
        return Map.of();
    }

    @Override
    public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
        loop.execute(() -> done.accept(true));
    }
}
