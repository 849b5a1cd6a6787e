package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/** What the origins of a service are. */
public enum ServiceKind {
    /** A content store: read only, with a rate for each origin. */
    CONTENT("content"),
    /** An application that takes keyed requests. */
    BOOKING("booking"),
    /** Nothing is known beforehand; its routes say what is allowed. */
    OPEN("open");

    private final String code;

    ServiceKind(final String code) {
        this.code = code;
    }

    /** The name in a configuration; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    /** The names of all. */
    public static Set<String> codes() {
        return Arrays.stream(values()).map(ServiceKind::code).collect(Collectors.toUnmodifiableSet());
    }

    /** The kind of this name, or null where there is none. */
    public static ServiceKind ofCode(final String code) {
        return Arrays.stream(values())
                .filter(kind -> kind.code.equals(code))
                .findFirst()
                .orElse(null);
    }

    @Override
    public String toString() {
        return code;
    }
}
