package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** The record of the requested key with its outcome; null if this replica has no outcome for the key. */
@JsonTypeName("KeptOutcome")
public record OutcomeResponse(@JsonProperty("note") KeyedRecord keyedRecord) implements Message {}
