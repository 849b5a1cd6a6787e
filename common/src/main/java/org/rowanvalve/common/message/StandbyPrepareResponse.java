package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** {@code ready} states whether the standby has the state that the voters had a moment ago. */
@JsonTypeName("CaughtUp")
public record StandbyPrepareResponse(@JsonProperty("ok") boolean ready) implements Message {}
