package org.rowanvalve.testkit.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The events of one key, or of one request, in the logs of clients, nodes and origins, in the order of their time. Events of
 * a request that bears the key belong to the trace of the key.
 */
public final class RequestTrace {
    private static final String REQUEST = "request";
    private static final String KEY = "key";
    private final String name;
    private final Set<String> requestIds = new HashSet<>();
    private final List<Map<String, Object>> events = new ArrayList<>();

    /** {@code name}: a key or a request ID. */
    public RequestTrace(final String name, final List<Map<String, Object>> rows) {
        this.name = name;
        rows.stream()
                .filter(row -> hasKey(row) && row.containsKey(REQUEST))
                .forEach(row -> requestIds.add(String.valueOf(row.get(REQUEST))));
        requestIds.add(name);
        rows.stream()
                .filter(row -> hasKey(row) || requestIds.contains(String.valueOf(row.get(REQUEST))))
                .sorted(Comparator.comparingLong(RequestTrace::time))
                .forEach(events::add);
    }

    /** Holders store a key behind the name of its route, or of its host and path. */
    private boolean hasKey(final Map<String, Object> row) {
        final String key = String.valueOf(row.get(KEY));
        return key.equals(name) || key.endsWith("|" + name) || key.endsWith("#" + name);
    }

    private static long time(final Map<String, Object> row) {
        return row.get("t") instanceof Number time ? time.longValue() : 0;
    }

    public List<Map<String, Object>> events() {
        return List.copyOf(events);
    }

    /** One line an event: its time since the first one in ms, its node, its name and its facts. */
    public String text() {
        final StringBuilder text = new StringBuilder();
        final long first = events.isEmpty() ? 0 : time(events.get(0));
        for (final Map<String, Object> event : events) {
            text.append(String.format("%8d ms", time(event) - first));
            event.forEach((fact, value) -> {
                if (!fact.equals("t")) {
                    text.append(' ').append(fact).append('=').append(value);
                }
            });
            text.append('\n');
        }
        return text.toString();
    }
}
