package org.rowanvalve.common.event;

import java.util.Map;
import java.util.TreeMap;

/** One log event: its numbered code and the facts that belong to it. */
public record Event(EventCode code, Map<String, Object> facts) {
    /** {@code pairs}: names of facts and their values in turn. */
    public static Event of(final EventCode code, final Object... pairs) {
        final Map<String, Object> map = new TreeMap<>();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            map.put(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        return new Event(code, map);
    }

    /** The line of the text log: number, description and facts. */
    public String format() {
        return code.id() + " " + code.description() + (facts.isEmpty() ? "" : " " + facts);
    }
}
