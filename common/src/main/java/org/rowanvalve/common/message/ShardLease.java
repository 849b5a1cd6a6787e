package org.rowanvalve.common.message;

import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.LeaseState;

/** The lease of one shard: its fencing token and its state as the sender knows it. */
public record ShardLease(int shard, FencingToken token, LeaseState state) {}
