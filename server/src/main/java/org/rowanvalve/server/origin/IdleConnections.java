package org.rowanvalve.server.origin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.Connection;

/**
 * Idle connections to origins, and how long one may have been idle to be used again: less than the origin states, less
 * than the idle time after which connections of its service were seen to be forgotten, and hardly at all for a request
 * that must not run twice. Times are milliseconds of the caller's clock.
 */
final class IdleConnections {
    /** The longest idle time where an origin states none. */
    static final long LONGEST_REST = 8000;
    /**
     * The longest idle time before a request that must not be repeated: after a reset it is not known whether it was
     * executed.
     */
    static final long REST_BEFORE_ONCE = 100;
    /** How long a forgotten connection bounds the idle time of the others of its service. */
    static final long LEARNED_FOR = 30_000;

    /** Below it a connection is in use rather than idle. */
    private static final long SHORTEST_REST = 50;
    /** A forgotten connection is reset at once; one that is lost later was lost with its origin or its answer. */
    private static final long PROMPT = 150;

    private static final int MOST_IDLE = 4;
    private static final Pattern STATED = Pattern.compile("timeout=([0-9]{1,6})");
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private final Map<String, Learned> learned = new HashMap<>();

    private final Predicate<Connection> isSilent;

    /** {@code isSilent}: looks whether anything has come on an idle connection. */
    IdleConnections(final Predicate<Connection> isSilent) {
        this.isSilent = isSilent;
    }

    /** {@code longest}: for how long the origin keeps it. */
    private record Idle(Connection connection, long since, long longest) {}

    private record Learned(long rest, long until) {}

    /** A connection to send on, and how long it has been idle. */
    record Rested(Connection connection, long rest) {}

    /** The one that was used last, or null where none is fresh enough. {@code site} names one start of an origin. */
    Rested take(final String site, final String service, final boolean repeatable, final long now) {
        final ArrayDeque<Idle> all = idle.getOrDefault(site, new ArrayDeque<>());
        for (Idle last = all.peekLast(); last != null; last = all.peekLast()) {
            final long rest = now - last.since();
            final boolean usable = !last.connection().isClosed()
                    && rest < last.longest()
                    && (rest <= SHORTEST_REST || rest < bound(service, now))
                    && isSilent.test(last.connection());
            if (usable && !repeatable && rest > REST_BEFORE_ONCE) {
                return null;
            }
            all.pollLast();
            if (usable) {
                return new Rested(last.connection(), rest);
            }
            last.connection().close();
        }
        return null;
    }

    /** {@code stated}: the origin's {@code Keep-Alive}, or null. */
    void put(final String site, final Connection connection, final String stated, final long now) {
        final ArrayDeque<Idle> all = idle.computeIfAbsent(site, s -> new ArrayDeque<>());
        all.addLast(new Idle(connection, now, longest(stated)));
        if (all.size() > MOST_IDLE) {
            all.pollFirst().connection().close();
        }
    }

    /** A request of this service was lost {@code after} ms on a connection that had been idle before. */
    void lost(final String service, final long rest, final long after, final long now) {
        if (rest > SHORTEST_REST && after <= PROMPT) {
            final long bound = Math.max(SHORTEST_REST, Math.min(rest, bound(service, now)) / 2);
            learned.put(service, new Learned(bound, now + LEARNED_FOR));
        }
    }

    private long bound(final String service, final long now) {
        final Learned l = learned.get(service);
        return l == null || now >= l.until() ? LONGEST_REST : l.rest();
    }

    /** A second less than the origin says, so that no request meets its closing. */
    private static long longest(final String stated) {
        final Matcher matcher = stated == null ? null : STATED.matcher(stated);
        return matcher != null && matcher.find()
                ? Math.min(LONGEST_REST, Long.parseLong(matcher.group(1)) * 1000 - 1000)
                : LONGEST_REST;
    }
}
