package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/** {@code complete}: heads and body are here; where it is false they have to be fetched from a keeper. */
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
