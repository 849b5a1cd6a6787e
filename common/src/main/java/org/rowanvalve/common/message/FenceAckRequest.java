package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * Sent by the leader to a lease holder when the waiting times are over that protect these shards from a previous owner
 * whose fills could not be stopped. Until then the new holder must not fill these shards.
 */
@JsonTypeName("FenceAck")
public record FenceAckRequest(long term, List<Integer> shards) implements Message {}
