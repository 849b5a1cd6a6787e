package org.rowanvalve.common.runtime;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores rows that survive the end of the process and a power failure once they are synced. A null value in {@code
 * save} removes the row. {@code done} gets true once the rows are synced, and false if they could not be synced.
 */
public interface StableStorage {
    /** Returns all rows as last saved. */
    Map<String, byte[]> load() throws StorageException;

    void save(Map<String, byte[]> rows, Consumer<Boolean> done);
}
