package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * {@code accepted}: whether the asked node leads in this term; {@code renewed}: leases that go on, valid from when the
 * request was sent; {@code stale}: leases that are another holder's by now.
 */
@JsonTypeName("Renewed")
public record LeaseRenewResponse(
        long term,
        @JsonProperty("mine") boolean accepted,
        @JsonProperty("granted") List<ShardLease> renewed,
        List<ShardLease> stale)
        implements Message {}
