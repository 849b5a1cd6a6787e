package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A service and the limits of its origins.
 *
 * @param ratePerOrigin requests per second for each origin
 * @param rateLimit requests per second for all origins together; 0 if there is no limit
 * @param connectionLimit the number of connections that an origin accepts from all callers together
 * @param note free text of the operator
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
