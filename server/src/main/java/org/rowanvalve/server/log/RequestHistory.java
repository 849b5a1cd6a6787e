package org.rowanvalve.server.log;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.data.keyed.KeyedRequests;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.ExecutionKnowledge;

/**
 * The recent events of requests that may be executed at most once, held back until one of them tells that the request did
 * not go well: it was refused, its outcome is unknown, or its key was requested before. From then on all events of the
 * request are for the log. Not thread-safe.
 */
final class RequestHistory {
    /** The events that may belong to the history of a request. */
    static final Set<EventCode> CODES = EnumSet.of(
            EventCode.ORIGIN_SEND,
            EventCode.SHIELD_BEHIND,
            EventCode.REQUEST_ENDED,
            EventCode.INTENT_WRITTEN,
            EventCode.ORIGIN_ENDED,
            EventCode.KEYED_ENDED,
            EventCode.KEY_REPEATED,
            EventCode.CLIENT_LEFT,
            EventCode.WORK_ENDED,
            EventCode.CANCELLED);

    static final int MAX_REQUESTS = 512;
    private static final int MAX_EVENTS_PER_REQUEST = 32;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, History> histories = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<String, History> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    private static final class History {
        private final List<LogEntry> held = new ArrayList<>();
        private boolean reported;
    }

    /** Takes an event of {@link #CODES} and returns the entries that are to be written now, oldest first. */
    List<LogEntry> add(final LogEntry entry) {
        final Event event = entry.event();
        final String request = String.valueOf(event.facts().getOrDefault("request", ""));
        if (request.isEmpty() || isRepeatableSend(event)) {
            return List.of();
        }
        final History history = histories.computeIfAbsent(request, id -> new History());
        if (history.held.size() < MAX_EVENTS_PER_REQUEST) {
            history.held.add(entry);
        }
        history.reported |= tellsFailure(event);
        if (!history.reported) {
            if (endsRequest(event)) {
                histories.remove(request);
            }
            return List.of();
        }
        final List<LogEntry> due = List.copyOf(history.held);
        history.held.clear();
        return due;
    }

    private static boolean isRepeatableSend(final Event event) {
        return event.code() == EventCode.ORIGIN_SEND && !hasFact(event, "atMostOnce", true);
    }

    private static boolean endsRequest(final Event event) {
        return event.code() == EventCode.REQUEST_ENDED || event.code() == EventCode.KEYED_ENDED;
    }

    private static boolean tellsFailure(final Event event) {
        return switch (event.code()) {
            case REQUEST_ENDED -> !hasFact(event, "fate", RequestOutcome.DONE);
            case ORIGIN_ENDED -> !hasFact(event, "result", OriginTransport.ExchangeResult.COMPLETE);
            case INTENT_WRITTEN -> !hasFact(event, "result", KeyedRequests.INTENT_STORED);
            case KEYED_ENDED -> !hasFact(event, "executed", ExecutionKnowledge.Level.DONE);
            case KEY_REPEATED -> true;
            default -> false;
        };
    }

    private static boolean hasFact(final Event event, final String name, final Object value) {
        return String.valueOf(value).equals(String.valueOf(event.facts().get(name)));
    }
}
