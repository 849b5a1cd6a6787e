package org.rowanvalve.common.runtime;

import java.util.Map;
import java.util.function.Consumer;

/** A null value in {@code save} removes the row. {@code done} hears true only once the rows are synced. */
public interface StableStorage {
    Map<String, byte[]> load() throws StorageException;

    void save(Map<String, byte[]> rows, Consumer<Boolean> done);
}
