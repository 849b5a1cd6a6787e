package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * From the leader to a holder: the waits are over that protect these shards from an owner whose fills could not be
 * stopped. Until then the new holder may not fill them.
 */
@JsonTypeName("FenceAck")
public record FenceAckRequest(long term, List<Integer> shards) implements Message {}
