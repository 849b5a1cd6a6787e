package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** {@code weightsSerial}: of the weights this holder goes by; {@code demand}: sends it wanted to make since the last one. */
@JsonTypeName("Renew")
public record LeaseRenewRequest(
        long term,
        @JsonProperty("claims") List<ShardLease> leases,
        @JsonProperty("serial") long weightsSerial,
        @JsonProperty("wishes") List<ShardDemand> demand)
        implements Message {}
