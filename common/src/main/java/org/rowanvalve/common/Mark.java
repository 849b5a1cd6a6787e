package org.rowanvalve.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The versions a copy was filled under: its route and every purge that touches it. */
public record Mark(@JsonValue SortedMap<String, Long> vers) {
    @JsonCreator
    public Mark(final Map<String, Long> vers) {
        this(new TreeMap<>(vers == null ? Map.of() : vers));
    }

    public boolean covers(final Mark o) {
        return o.vers.entrySet().stream().allMatch(e -> vers.getOrDefault(e.getKey(), 0L) >= e.getValue());
    }
}
