package org.rowanvalve.common.event;

import java.util.Map;
import java.util.TreeMap;

/** One event of the log: its numbered code and its attributes. */
public record Event(EventCode code, Map<String, Object> facts) {
    /** Creates an event; {@code pairs} alternates names and values of attributes. */
    public static Event of(final EventCode code, final Object... pairs) {
        final Map<String, Object> facts = new TreeMap<>();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            facts.put(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        return new Event(code, facts);
    }

    /** Returns the line of the text log: number, description and attributes. */
    public String format() {
        return code.id() + " " + code.description() + (facts.isEmpty() ? "" : " " + facts);
    }
}
