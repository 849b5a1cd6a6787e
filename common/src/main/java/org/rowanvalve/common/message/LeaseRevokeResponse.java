package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The response to a {@link LeaseRevokeRequest}.
 *
 * @param allStopped whether {@code stoppedShards} contains all requested shards
 * @param stoppedShards the shards for which no fill is running any longer
 */
@JsonTypeName("Revoked")
public record LeaseRevokeResponse(
        @JsonProperty("ok") boolean allStopped,
        @JsonProperty("stopped") List<Integer> stoppedShards) implements Message {}
