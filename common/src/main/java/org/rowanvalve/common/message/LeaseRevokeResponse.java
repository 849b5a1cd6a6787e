package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("Revoked")
public record LeaseRevokeResponse(
        @JsonProperty("ok") boolean allStopped,
        @JsonProperty("stopped") List<Integer> stoppedShards) implements Message {}
