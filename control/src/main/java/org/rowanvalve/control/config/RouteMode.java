package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/** How the requests of a route are executed and whether their responses are cached. */
public enum RouteMode {
    /** Responses may be cached and served to other clients. */
    CACHED("cached"),
    /** Requests are idempotent, and their responses are never cached. */
    STATUS("status"),
    /** A request is executed at most once for each key within the key window. */
    KEYED("once"),
    /** A request has no key and is executed at most once. */
    AT_MOST_ONCE("single");

    private final String code;

    RouteMode(final String code) {
        this.code = code;
    }

    /** Returns the name in a configuration, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    /** Returns the names of all modes. */
    public static Set<String> codes() {
        return Arrays.stream(values()).map(RouteMode::code).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the mode of this name, or null if no mode has it. */
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
