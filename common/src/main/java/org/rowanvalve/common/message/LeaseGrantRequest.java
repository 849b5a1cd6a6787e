package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The leader grants a holder the leases that the placement plan of {@code planEpoch} assigns to it. A new lease is
 * uncertain until the leader confirms a renewal of it.
 */
@JsonTypeName("Place")
public record LeaseGrantRequest(
        long term,
        @JsonProperty("epoch") long planEpoch,
        @JsonProperty("grants") List<ShardLease> leases) implements Message {}
