package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An origin as it announced itself.
 *
 * @param ttlMs how long the origin is live after an announcement, in ms; 0 if its heartbeats are tracked elsewhere
 * @param location the zone of the origin
 * @param slots the number of requests that the origin processes concurrently; 0 if it does not state a number
 * @param warmUpMs the warm-up time after a start that remained at the announcement, in ms
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

    /** Creates an origin that sends heartbeats and belongs to a service of the kind {@link ServiceKind#OPEN}. */
    public static Origin heartbeating(
            final String service,
            final String host,
            final int port,
            final String instance,
            final boolean draining,
            final long sequence,
            final String location,
            final int slots,
            final long warmUpMs) {
        return new Origin(
                service, host, port, instance, ServiceKind.OPEN, 0, 0, draining, sequence, location, slots, warmUpMs);
    }

    /** Returns the state of this origin after its process ended. No later heartbeat replaces this state. */
    public Origin ended() {
        return new Origin(service, host, port, instance, kind, load, ttlMs, true, Long.MAX_VALUE, location, slots, 0);
    }

    /** Whether the other announcement came from the same process at the same address. */
    public boolean isSameProcess(final Origin origin) {
        return origin != null
                && service.equals(origin.service)
                && host.equals(origin.host)
                && port == origin.port
                && instance.equals(origin.instance);
    }

    /** Whether the origin takes requests; {@code age} is the time since it was last heard from, in ms. */
    public boolean isLive(final long age) {
        return !draining && (ttlMs <= 0 || age < ttlMs);
    }
}
