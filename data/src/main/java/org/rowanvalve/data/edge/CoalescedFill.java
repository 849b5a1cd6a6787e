package org.rowanvalve.data.edge;

import java.util.List;
import org.rowanvalve.common.model.VersionVector;

/** One pass to the holder for all who ask for an object under one mark; the first of them asks for all. */
record CoalescedFill(VersionVector versions, List<EdgeRequest> waiters) {
    /** How many may wait for one object. */
    static final int MAX_WAITERS = 512;

    boolean isFull(final int more) {
        return waiters.size() + more > MAX_WAITERS;
    }
}
