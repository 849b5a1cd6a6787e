package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;

/**
 * {@code hasState}: whether this voter has its state; {@code incarnation}: its own start, empty where it would not
 * found a network; {@code founders}: the starts that founded the network; {@code resumptions}: how often its state was
 * the only copy left; {@code ageMs}: time since it started; {@code next}: where the next page
 * begins, or none after the last.
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
