package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** The leader revokes these leases. The holder stops their fills before it responds. */
@JsonTypeName("Revoke")
public record LeaseRevokeRequest(
        long term, @JsonProperty("list") List<ShardLease> leases) implements Message {}
