package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("Hello")
public record LeaseHelloRequest(
        long term, @JsonProperty("claims") List<ShardLease> leases) implements Message {}
