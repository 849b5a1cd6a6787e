package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * What the asked process knows of a key.
 *
 * @param keyedRecord the record with its outcome, or with the mark that nothing was sent; null if neither is known here
 * @param inProgress whether the attempt that was asked about is in progress at this process; null means that it is not
 */
@JsonTypeName("KeptOutcome")
public record OutcomeResponse(
        @JsonProperty("note") KeyedRecord keyedRecord,
        @JsonProperty("running") Boolean inProgress) implements Message {
    public OutcomeResponse(final KeyedRecord keyedRecord) {
        this(keyedRecord, null);
    }

    /** The response of the process whose attempt is in progress. */
    public static OutcomeResponse ofAttemptInProgress() {
        return new OutcomeResponse(null, true);
    }

    public boolean isInProgress() {
        return Boolean.TRUE.equals(inProgress);
    }
}
