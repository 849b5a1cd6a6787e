package org.rowanvalve.common.runtime;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Rows that survive the process and a loss of power once they are synced. A null value in {@code save} removes the row;
 * {@code done} gets true only once the rows are synced, and false where they could not be.
 */
public interface StableStorage {
    /** All rows, as last saved. */
    Map<String, byte[]> load() throws StorageException;

    void save(Map<String, byte[]> rows, Consumer<Boolean> done);
}
