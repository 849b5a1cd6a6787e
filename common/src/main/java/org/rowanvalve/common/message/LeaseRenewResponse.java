package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("Renewed")
public record LeaseRenewResponse(
        long term,
        @JsonProperty("mine") boolean accepted,
        @JsonProperty("granted") List<ShardLease> renewed,
        List<ShardLease> stale)
        implements Message {}
