package org.rowanvalve.common;

import java.util.Map;
import java.util.function.Consumer;

/** A null value in {@code save} removes the row. {@code done} hears true only once the rows are synced. */
public interface Disk {
    Map<String, byte[]> load() throws DiskTrouble;

    void save(Map<String, byte[]> rows, Consumer<Boolean> done);
}
