package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * A holder asks to renew its leases.
 *
 * @param weightsSerial the serial of the rate limit shares that the holder applies
 * @param demand the requests to origins that the holder wanted to send since the last renewal
 */
@JsonTypeName("Renew")
public record LeaseRenewRequest(
        long term,
        @JsonProperty("claims") List<ShardLease> leases,
        @JsonProperty("serial") long weightsSerial,
        @JsonProperty("wishes") List<ShardDemand> demand)
        implements Message {}
