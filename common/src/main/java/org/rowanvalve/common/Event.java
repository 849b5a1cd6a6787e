package org.rowanvalve.common;

import java.util.Map;
import java.util.TreeMap;

/** One log event: its numbered code and the facts that belong to it. */
public record Event(Code code, Map<String, Object> facts) {
    public static Event of(final Code code, final Object... pairs) {
        final Map<String, Object> map = new TreeMap<>();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            map.put(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        return new Event(code, map);
    }

    public String line() {
        return code.tag() + " " + code.text() + (facts.isEmpty() ? "" : " " + facts);
    }
}
