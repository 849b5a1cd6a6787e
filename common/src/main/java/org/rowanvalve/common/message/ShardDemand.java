package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;

public record ShardDemand(
        String service, int shard, @JsonProperty("n") int count) {}
