package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;

@JsonTypeName("Accepted")
public record AcceptResponse(
        @JsonProperty("ok") boolean accepted,
        @JsonProperty("high") Ballot highestBallot) implements Message {}
