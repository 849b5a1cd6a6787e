package org.rowanvalve.server.origin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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

    private final Predicate<OriginConnection> isSilent;

    /** {@code isSilent}: looks whether anything has come on an idle connection. */
    IdleConnections(final Predicate<OriginConnection> isSilent) {
        this.isSilent = isSilent;
    }

    /** {@code longest}: for how long the origin keeps it. */
    private record Idle(OriginConnection connection, long since, long longest) {}

    private record Learned(long rest, long until) {}

    /** A connection to send on, and how long it has been idle. */
    record Rested(OriginConnection connection, long rest) {}

    /**
     * The connection that was used last, or null where none is fresh enough and has not carried the request before.
     *
     * @param site names one start of an origin
     * @param repeatable whether the request may be executed twice
     */
    Rested take(
            final String site, final String service, final String requestId, final boolean repeatable, final long now) {
        final Iterator<Idle> newestFirst =
                idle.getOrDefault(site, new ArrayDeque<>()).descendingIterator();
        while (newestFirst.hasNext()) {
            final Idle next = newestFirst.next();
            final long rest = now - next.since();
            if (!isUsable(next, rest, service, now)) {
                newestFirst.remove();
                next.connection().close();
            } else if (!repeatable && rest > REST_BEFORE_ONCE) {
                return null;
            } else if (!next.connection().hasSent(requestId)) {
                newestFirst.remove();
                return new Rested(next.connection(), rest);
            }
        }
        return null;
    }

    private boolean isUsable(final Idle candidate, final long rest, final String service, final long now) {
        return !candidate.connection().isClosed()
                && rest < candidate.longest()
                && (rest <= SHORTEST_REST || rest < bound(service, now))
                && isSilent.test(candidate.connection());
    }

    /** {@code stated}: the origin's {@code Keep-Alive}, or null. */
    void put(final String site, final OriginConnection connection, final String stated, final long now) {
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
