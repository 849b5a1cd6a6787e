package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("CaughtUp")
public record StandbyPrepareResponse(@JsonProperty("ok") boolean ready) implements Message {}
