package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The versions in force when a cached copy was filled: of its route and of each purge that applies to the copy. */
public record VersionVector(@JsonValue SortedMap<String, Long> versions) {
    @JsonCreator
    public VersionVector(final Map<String, Long> versions) {
        this(new TreeMap<>(versions == null ? Map.of() : versions));
    }

    /** Whether a copy with these versions is at least as new as {@code other} requires. */
    public boolean covers(final VersionVector other) {
        return other.versions.entrySet().stream()
                .allMatch(entry -> versions.getOrDefault(entry.getKey(), 0L) >= entry.getValue());
    }
}
