package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** {@code keyedRecord}: with its outcome, or none where this replica has no outcome of the key. */
@JsonTypeName("KeptOutcome")
public record OutcomeResponse(@JsonProperty("note") KeyedRecord keyedRecord) implements Message {}
