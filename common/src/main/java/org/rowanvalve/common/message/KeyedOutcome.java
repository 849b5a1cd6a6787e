package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * The response to a keyed request.
 *
 * @param complete whether the headers and the body are included; otherwise they have to be fetched from a replica
 */
public record KeyedOutcome(
        int status,
        @JsonProperty("heads") Map<String, String> headers,
        byte[] body,
        @JsonProperty("done") boolean complete) {
    /** Returns an outcome whose headers and body have to be fetched from a replica. */
    public static KeyedOutcome bodyElsewhere(final int status) {
        return new KeyedOutcome(status, Map.of(), new byte[0], false);
    }
}
