package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/** The kind of a service's origins. */
public enum ServiceKind {
    /** A read-only content store with a rate limit for each origin. */
    CONTENT("content"),
    /** An application that takes keyed requests. */
    BOOKING("booking"),
    /** An origin without presumed properties; the routes of the service state which requests are allowed. */
    OPEN("open");

    private final String code;

    ServiceKind(final String code) {
        this.code = code;
    }

    /** Returns the name in a configuration, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    /** Returns the names of all kinds. */
    public static Set<String> codes() {
        return Arrays.stream(values()).map(ServiceKind::code).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the kind of this name, or null if no kind has it. */
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
