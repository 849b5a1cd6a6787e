package org.rowanvalve.control.operator;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.ValidationError;

/**
 * Parts of one update by the names of their items. Where a name is stated more than once the highest version holds, as
 * among updates, in whatever order they come; one version with two bodies is an error.
 */
public final class HighestVersions {
    private static final String VERSION = "version";
    private final String path;
    private final List<ValidationError> errors;
    private final Map<String, Object> parts = new LinkedHashMap<>();
    private final Map<String, Long> versions = new HashMap<>();

    /** {@code path}: where the parts stand in the update. */
    public HighestVersions(final String path, final List<ValidationError> errors) {
        this.path = path;
        this.errors = errors;
    }

    /** An item that is set, with its version among its members. */
    public void set(final String name, final Map<String, Object> members) {
        put(name, ((Number) members.get(VERSION)).longValue(), members);
    }

    public void drop(final String name, final long version) {
        put(name, version, version);
    }

    private void put(final String name, final long version, final Object part) {
        final long highest = versions.getOrDefault(name, 0L);
        if (version == highest && !part.equals(parts.get(name))) {
            errors.add(new ValidationError(path + "/" + name, "two bodies under one version"));
        } else if (version > highest) {
            versions.put(name, version);
            parts.put(name, part);
        }
    }

    /** The parts that hold, by name. */
    public Map<String, Object> all() {
        return Collections.unmodifiableMap(parts);
    }
}
