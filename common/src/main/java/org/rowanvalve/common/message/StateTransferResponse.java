package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;

@JsonTypeName("Memory")
public record StateTransferResponse(
        @JsonProperty("has") boolean hasState,
        @JsonProperty("boot") String incarnation,
        Map<NodeId, String> founders,
        @JsonProperty("floor") long ballotFloor,
        @JsonProperty("slots") List<Register> registers,
        @JsonProperty("lives") long resumptions,
        @JsonProperty("age") long ageMs)
        implements Message {}
