package rv.base;

/** How a member describes itself in its heartbeats. */
public enum Condition {
    READY,
    PARTIAL,
    UNREADY,
    LEAVING
}
