package org.rowanvalve.control;

/**
 * {@code cell}: its zone; {@code slots}: requests that it works on at once, 0 where it does not say; {@code coldMs}: how
 * much longer it was slow from its start when it said so; {@code ttlMs}: 0 where its beats are counted elsewhere.
 */
public record Origin(
        String service,
        String host,
        int port,
        String stamp,
        String kind,
        double load,
        long ttlMs,
        boolean leaving,
        long beat,
        String cell,
        int slots,
        long coldMs) {

    public Origin {
        cell = cell == null ? "" : cell;
    }

    public Origin(
            final String service,
            final String host,
            final int port,
            final String stamp,
            final String kind,
            final double load,
            final long ttlMs,
            final boolean leaving,
            final long beat) {
        this(service, host, port, stamp, kind, load, ttlMs, leaving, beat, "", 0, 0);
    }

    /** One that beats, of a service whose kind is open. */
    public static Origin beating(
            final String service,
            final String host,
            final int port,
            final String stamp,
            final boolean leaving,
            final long beat,
            final String cell,
            final int slots,
            final long coldMs) {
        return new Origin(service, host, port, stamp, Service.OPEN, 0, 0, leaving, beat, cell, slots, coldMs);
    }

    /** The same origin once it has ended: no later beat passes this one. */
    Origin left() {
        return new Origin(service, host, port, stamp, kind, load, ttlMs, true, Long.MAX_VALUE, cell, slots, 0);
    }

    /** Whether the other announcement is of the same process at the same address. */
    public boolean site(final Origin o) {
        return o != null && service.equals(o.service) && host.equals(o.host) && port == o.port && stamp.equals(o.stamp);
    }

    public boolean live(final long age) {
        return !leaving && (ttlMs <= 0 || age < ttlMs);
    }
}
