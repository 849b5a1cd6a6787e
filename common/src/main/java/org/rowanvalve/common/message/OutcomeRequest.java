package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Asks a replica for the outcome of one key, including its body, or a shield how its own attempt of the key ended.
 *
 * @param attemptId the attempt that the shield is asked about; null in a request to a replica
 */
@JsonTypeName("KeepOutcome")
public record OutcomeRequest(
        String key, @JsonProperty("turn") Long attemptId) implements Message {
    public OutcomeRequest(final String key) {
        this(key, null);
    }
}
