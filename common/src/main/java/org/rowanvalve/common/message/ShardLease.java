package org.rowanvalve.common.message;

import org.rowanvalve.common.model.FencingToken;

public record ShardLease(int shard, FencingToken token, String state) {}
