package org.rowanvalve.common.message;

import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.LeaseState;

/** One shard's lease: its fencing token and the state that the sender takes it to be in. */
public record ShardLease(int shard, FencingToken token, LeaseState state) {}
