package rv.data;

import java.util.List;
import rv.base.Mark;

/** One pass to the holder for all who ask for an object under one mark; the first of them asks for all. */
record CacheFlight(Mark mark, List<EdgeRequest> waiters) {
    /** How many may wait for one object. */
    static final int ROOM = 512;

    boolean full(final int more) {
        return waiters.size() + more > ROOM;
    }
}
