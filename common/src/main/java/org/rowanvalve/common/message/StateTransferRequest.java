package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Reread")
public record StateTransferRequest(
        long epoch,
        @JsonProperty("boot") String incarnation,
        @JsonProperty("bar") boolean raiseFloor,
        @JsonProperty("sole") boolean onlyCopy)
        implements Message {}
