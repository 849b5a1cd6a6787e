package org.rowanvalve.data;

import java.util.List;
import org.rowanvalve.common.Mark;

/** One pass to the holder for all who ask for an object under one mark; the first of them asks for all. */
record CacheFlight(Mark mark, List<EdgeRequest> waiters) {
    /** How many may wait for one object. */
    static final int ROOM = 512;

    boolean full(final int more) {
        return waiters.size() + more > ROOM;
    }
}
