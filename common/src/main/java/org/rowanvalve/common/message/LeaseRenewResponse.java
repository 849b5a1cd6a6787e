package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The response to a {@link LeaseRenewRequest}.
 *
 * @param accepted whether the responding node is the leader in this term
 * @param renewed the renewed leases, whose validity starts at the time when the request was sent
 * @param stale the leases that now belong to another holder
 */
@JsonTypeName("Renewed")
public record LeaseRenewResponse(
        long term,
        @JsonProperty("mine") boolean accepted,
        @JsonProperty("granted") List<ShardLease> renewed,
        List<ShardLease> stale)
        implements Message {}
