package rv.base;

public enum Condition {
    READY,
    PARTIAL,
    UNREADY,
    LEAVING
}
