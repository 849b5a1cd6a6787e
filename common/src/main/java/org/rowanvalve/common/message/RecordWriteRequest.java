package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Writes an intent or an outcome of a keyed request at one replica.
 *
 * @param era the era in which the writer read the replica
 */
@JsonTypeName("KeepWrite")
public record RecordWriteRequest(
        long epoch, @JsonProperty("note") KeyedRecord keyedRecord, long era) implements Message {}
