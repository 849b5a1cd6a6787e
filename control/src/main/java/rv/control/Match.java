package rv.control;

/** A route: which paths go to which service, and how. */
public record Match(String prefix, String service, String mode, long lifetimeMs, boolean purgeable, String when) {
    public static final String CACHED = "cached";
    public static final String STATUS = "status";
    public static final String ONCE = "once";

    public Match {
        when = when == null ? "" : when;
    }

    public boolean takes(final String path) {
        return path.startsWith(prefix);
    }
}
