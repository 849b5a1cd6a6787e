package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An origin as it announced itself. {@code location}: its zone; {@code slots}: requests that it works on at once, 0
 * where it does not say; {@code warmUpMs}: how much longer it was slow after its start when it said so; {@code ttlMs}:
 * 0 where its heartbeats are counted elsewhere.
 */
public record Origin(
        String service,
        String host,
        int port,
        @JsonProperty("stamp") String instance,
        ServiceKind kind,
        double load,
        long ttlMs,
        @JsonProperty("leaving") boolean draining,
        @JsonProperty("beat") long sequence,
        @JsonProperty("cell") String location,
        int slots,
        @JsonProperty("coldMs") long warmUpMs) {

    public Origin {
        location = location == null ? "" : location;
    }

    public Origin(
            final String service,
            final String host,
            final int port,
            final String instance,
            final ServiceKind kind,
            final double load,
            final long ttlMs,
            final boolean draining,
            final long sequence) {
        this(service, host, port, instance, kind, load, ttlMs, draining, sequence, "", 0, 0);
    }

    /** An origin that sends heartbeats, of a service whose kind is open. */
    public static Origin heartbeating(
            final String service,
            final String host,
            final int port,
            final String stamp,
            final boolean leaving,
            final long beat,
            final String cell,
            final int slots,
            final long coldMs) {
        return new Origin(service, host, port, stamp, ServiceKind.OPEN, 0, 0, leaving, beat, cell, slots, coldMs);
    }

    /** The same origin after its end: no later heartbeat replaces this state. */
    public Origin ended() {
        return new Origin(service, host, port, instance, kind, load, ttlMs, true, Long.MAX_VALUE, location, slots, 0);
    }

    /** Whether the other announcement is of the same process at the same address. */
    public boolean isSameProcess(final Origin origin) {
        return origin != null
                && service.equals(origin.service)
                && host.equals(origin.host)
                && port == origin.port
                && instance.equals(origin.instance);
    }

    /** Whether it takes requests; {@code age}: time since it was last heard from, in ms. */
    public boolean isLive(final long age) {
        return !draining && (ttlMs <= 0 || age < ttlMs);
    }
}
