package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("Place")
public record LeaseGrantRequest(
        long term,
        @JsonProperty("epoch") long planEpoch,
        @JsonProperty("grants") List<ShardLease> leases) implements Message {}
