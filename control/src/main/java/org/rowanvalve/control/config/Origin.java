package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Comparator;

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

    /** The sequence number of an instance that has ended, above that of every heartbeat. */
    private static final long ENDED_SEQUENCE = Long.MAX_VALUE;

    private static final Comparator<Origin> STATE_ORDER =
            Comparator.comparing(Origin::draining).thenComparingLong(Origin::sequence);

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
        return new Origin(service, host, port, instance, kind, load, ttlMs, true, ENDED_SEQUENCE, location, slots, 0);
    }

    /** Returns the state of an instance that ended before any heartbeat of it was registered. */
    public static Origin endedUnseen(final String instance) {
        return new Origin("", "", 0, instance, ServiceKind.OPEN, 0, 0, true, ENDED_SEQUENCE);
    }

    /** Whether this instance ended before any heartbeat of it was registered, so that nothing else is known of it. */
    public boolean isEndedUnseen() {
        return hasEnded() && service.isEmpty();
    }

    private boolean hasEnded() {
        return draining && sequence == ENDED_SEQUENCE;
    }

    /**
     * Whether this state of an instance replaces the other one. The states of an instance are ordered: ready by rising
     * sequence, then draining by rising sequence, then ended. Heartbeats and ends may therefore arrive in any order, late
     * or more than once: the highest state that has arrived holds.
     */
    public boolean supersedes(final Origin other) {
        return STATE_ORDER.compare(this, other) > 0;
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
