package org.rowanvalve.data.edge;

import java.util.List;
import org.rowanvalve.common.model.VersionVector;

/**
 * One request to the lease holder for all who ask for an object under the same versions; the first of them sends it.
 */
record CoalescedFill(VersionVector versions, List<EdgeRequest> waiters) {
    /** Requests that may wait for one object. */
    static final int MAX_WAITERS = 512;

    boolean isFull(final int more) {
        return waiters.size() + more > MAX_WAITERS;
    }
}
