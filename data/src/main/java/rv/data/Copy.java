package rv.data;

import java.util.Map;
import rv.base.Mark;

/** {@code born}: when, on this clock, the fill that brought it was sent. */
record Copy(int status, Map<String, String> heads, byte[] body, long born, long life, Mark mark) {
    static final long GRACE = 1500;

    boolean good(final long now, final Mark want) {
        return now - born < life && mark.equals(want);
    }

    /** Past its lifetime, but not by more than an object may have changed before: for when no fill can be had. */
    boolean late(final long now, final Mark want) {
        return now - born < life + GRACE && mark.equals(want);
    }
}
