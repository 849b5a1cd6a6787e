package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** A holder reports to the leader of a new term which leases it believes to hold or to have released. */
@JsonTypeName("Hello")
public record LeaseHelloRequest(
        long term, @JsonProperty("claims") List<ShardLease> leases) implements Message {}
