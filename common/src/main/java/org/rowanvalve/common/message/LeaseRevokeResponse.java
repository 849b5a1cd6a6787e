package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * {@code stoppedShards}: shards of which no fill runs any more; {@code allStopped}: whether these are all that were
 * asked for.
 */
@JsonTypeName("Revoked")
public record LeaseRevokeResponse(
        @JsonProperty("ok") boolean allStopped,
        @JsonProperty("stopped") List<Integer> stoppedShards) implements Message {}
