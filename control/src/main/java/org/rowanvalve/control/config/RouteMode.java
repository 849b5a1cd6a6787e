package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/** How the requests of a route are treated. */
public enum RouteMode {
    /** Responses may be kept and given to other clients. */
    CACHED("cached"),
    /** Idempotent and never kept. */
    STATUS("status"),
    /** Executed at most once for each key within the key window. */
    KEYED("once"),
    /** Executed at most once for each request; without a key. */
    AT_MOST_ONCE("single");

    private final String code;

    RouteMode(final String code) {
        this.code = code;
    }

    /** The name in a configuration; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    /** The names of all. */
    public static Set<String> codes() {
        return Arrays.stream(values()).map(RouteMode::code).collect(Collectors.toUnmodifiableSet());
    }

    /** The mode of this name, or null where there is none. */
    public static RouteMode ofCode(final String code) {
        return Arrays.stream(values())
                .filter(mode -> mode.code.equals(code))
                .findFirst()
                .orElse(null);
    }

    @Override
    public String toString() {
        return code;
    }
}
