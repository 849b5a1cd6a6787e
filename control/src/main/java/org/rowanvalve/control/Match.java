package org.rowanvalve.control;

import java.util.List;
import java.util.stream.Stream;

/**
 * A route: which paths of a host go to which service, and how. {@code service} takes all where {@code split} is empty;
 * {@code any}: what needs no right to fill may go through any shield; {@code rank}: 0 is refused last; {@code tries}:
 * origins that one request may be sent to; {@code note}: the operator's own words, kept as they came.
 */
public record Match(
        String prefix,
        String service,
        String mode,
        long lifetimeMs,
        boolean purgeable,
        String when,
        String host,
        List<Part> split,
        boolean any,
        long timeoutMs,
        long aimMs,
        int rank,
        int tries,
        String note) {
    public static final String CACHED = "cached";
    public static final String STATUS = "status";
    public static final String ONCE = "once";
    public static final String SINGLE = "single";

    /** One service of a route that is split over several, with its weight. */
    public record Part(String service, int weight) {}

    public Match {
        when = when == null ? "" : when;
        host = host == null ? "" : host;
        split = split == null ? List.of() : List.copyOf(split);
        tries = tries <= 0 ? 3 : tries;
        note = note == null ? "" : note;
    }

    public boolean takes(final String path) {
        return path.startsWith(prefix);
    }

    public boolean is(final String word) {
        return mode.equals(word);
    }

    /** All services that may get requests of this route. */
    public List<String> services() {
        return split.isEmpty()
                ? List.of(service)
                : split.stream().filter(p -> p.weight() > 0).map(Part::service).toList();
    }

    /** All services that it names, also those that get nothing now. */
    public List<String> named() {
        return Stream.concat(Stream.of(service), split.stream().map(Part::service))
                .distinct()
                .toList();
    }

    /** One of them by weight; {@code roll} is any number. */
    public String pick(final long roll) {
        if (split.isEmpty()) {
            return service;
        }
        long at = Long.remainderUnsigned(
                roll, Math.max(1, split.stream().mapToLong(Part::weight).sum()));
        for (final Part p : split) {
            if (at < p.weight()) {
                return p.service();
            }
            at -= p.weight();
        }
        return split.get(0).service();
    }

    /** What names an object or an operation on every node, whatever route takes it now. */
    public String slot(final String name, final String target) {
        return host.isEmpty() ? name + "|" + target : host + "|" + target;
    }
}
