package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How many requests to origins of one service a holder wanted to send for one shard. */
public record ShardDemand(
        String service, int shard, @JsonProperty("n") int count) {}
