package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Fetches the outcome of one key, with its body. */
@JsonTypeName("KeepOutcome")
public record OutcomeRequest(String key) implements Message {}
