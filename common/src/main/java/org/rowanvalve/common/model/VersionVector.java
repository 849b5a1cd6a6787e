package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The versions a copy was filled under: its route and every purge that touches it. */
public record VersionVector(@JsonValue SortedMap<String, Long> versions) {
    @JsonCreator
    public VersionVector(final Map<String, Long> versions) {
        this(new TreeMap<>(versions == null ? Map.of() : versions));
    }

    public boolean covers(final VersionVector other) {
        return other.versions.entrySet().stream()
                .allMatch(entry -> versions.getOrDefault(entry.getKey(), 0L) >= entry.getValue());
    }
}
