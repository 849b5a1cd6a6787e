package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The versions that a cached copy was filled under: of its route and of every purge that concerns it. */
public record VersionVector(@JsonValue SortedMap<String, Long> versions) {
    @JsonCreator
    public VersionVector(final Map<String, Long> versions) {
        this(new TreeMap<>(versions == null ? Map.of() : versions));
    }

    /** Whether a copy with these versions is as new as {@code other} asks for. */
    public boolean covers(final VersionVector other) {
        return other.versions.entrySet().stream()
                .allMatch(entry -> versions.getOrDefault(entry.getKey(), 0L) >= entry.getValue());
    }
}
