package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * {@code ratePerOrigin}: requests a second for each origin; {@code rateLimit}: for all of them together, 0 where there is none;
 * {@code connectionLimit}: connections that an origin takes from all callers; {@code note}: the operator's own words.
 */
public record Service(
        ServiceKind kind,
        @JsonProperty("rate") double ratePerOrigin,
        int bodyLimit,
        @JsonProperty("cutoffMs") long timeoutMs,
        @JsonProperty("ceiling") double rateLimit,
        @JsonProperty("circuits") int connectionLimit,
        String note) {

    public Service {
        note = note == null ? "" : note;
    }

    public boolean isContent() {
        return kind == ServiceKind.CONTENT;
    }
}
