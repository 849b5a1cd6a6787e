package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** {@code ready}: whether the standby holds what the voters held a moment ago. */
@JsonTypeName("CaughtUp")
public record StandbyPrepareResponse(@JsonProperty("ok") boolean ready) implements Message {}
