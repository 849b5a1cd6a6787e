package rv.control;

public record Origin(String service, String host, int port, String stamp, String kind, double load, long ttlMs, boolean leaving,
                     long beat) {

    /** Whether the other announcement is of the same process at the same address. */
    public boolean site(final Origin o) {
        return o != null && service.equals(o.service) && host.equals(o.host) && port == o.port && stamp.equals(o.stamp);
    }
}
