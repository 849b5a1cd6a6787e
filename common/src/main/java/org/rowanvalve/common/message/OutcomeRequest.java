package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Asks a replica for the outcome of one key, including its body. */
@JsonTypeName("KeepOutcome")
public record OutcomeRequest(String key) implements Message {}
