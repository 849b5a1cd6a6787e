package org.rowanvalve.common.message;

import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.LeaseState;

public record ShardLease(int shard, FencingToken token, LeaseState state) {}
