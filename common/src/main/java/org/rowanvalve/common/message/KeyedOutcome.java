package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * The answer that a keyed request got. {@code complete}: headers and body are here; else they have to be fetched from a
 * replica.
 */
public record KeyedOutcome(
        int status,
        @JsonProperty("heads") Map<String, String> headers,
        byte[] body,
        @JsonProperty("done") boolean complete) {
    /** An outcome whose heads and body stand elsewhere. */
    public static KeyedOutcome bodyElsewhere(final int status) {
        return new KeyedOutcome(status, Map.of(), new byte[0], false);
    }
}
