package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("FenceAck")
public record FenceAckRequest(long term, List<Integer> shards) implements Message {}
