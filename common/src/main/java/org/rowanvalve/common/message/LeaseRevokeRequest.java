package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("Revoke")
public record LeaseRevokeRequest(
        long term, @JsonProperty("list") List<ShardLease> leases) implements Message {}
