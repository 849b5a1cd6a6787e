package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;

/**
 * The response to a {@link StateTransferRequest}.
 *
 * @param hasState whether this voter has its state
 * @param incarnation the incarnation of this voter; empty if it would not found a network
 * @param founders the incarnations that founded the network
 * @param resumptions how many times this voter's state was the only copy left
 * @param ageMs the time since this voter started
 * @param next where the next page begins; null after the last page
 */
@JsonTypeName("Memory")
public record StateTransferResponse(
        @JsonProperty("has") boolean hasState,
        @JsonProperty("boot") String incarnation,
        Map<NodeId, String> founders,
        @JsonProperty("floor") long ballotFloor,
        @JsonProperty("slots") List<Register> registers,
        @JsonProperty("lives") long resumptions,
        @JsonProperty("age") long ageMs,
        @JsonProperty("next") RegisterPosition next)
        implements Message {
    public StateTransferResponse(
            final boolean hasState,
            final String incarnation,
            final Map<NodeId, String> founders,
            final long ballotFloor,
            final List<Register> registers,
            final long resumptions,
            final long ageMs) {
        this(hasState, incarnation, founders, ballotFloor, registers, resumptions, ageMs, null);
    }
}
