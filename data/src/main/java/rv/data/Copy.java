package rv.data;

import java.util.Map;
import rv.base.Mark;

/** {@code born}: when, on this clock, the fill that brought it was sent. */
record Copy(int status, Map<String, String> heads, byte[] body, long born, long life, Mark mark) {
    boolean good(final long now, final Mark want) {
        return now - born < life && mark.equals(want);
    }
}
