package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The leader grants a holder the leases that the plan of {@code planEpoch} gives it. A new lease is uncertain until a
 * renewal of it is answered.
 */
@JsonTypeName("Place")
public record LeaseGrantRequest(
        long term,
        @JsonProperty("epoch") long planEpoch,
        @JsonProperty("grants") List<ShardLease> leases) implements Message {}
