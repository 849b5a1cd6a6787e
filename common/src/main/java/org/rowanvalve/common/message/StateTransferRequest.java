package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * A voter that lost its state asks the other voters of its epoch for their state. If {@code position} is given, the
 * response is one page of the registers in the buckets whose {@code checksums} differ, starting at that position;
 * otherwise the response contains all registers.
 *
 * @param incarnation identifies this start of the requesting voter
 * @param raiseFloor whether the receiving voter is to raise its ballot floor and send registers
 * @param onlyCopy whether no other copy of the state is left
 */
@JsonTypeName("Reread")
public record StateTransferRequest(
        long epoch,
        @JsonProperty("boot") String incarnation,
        @JsonProperty("bar") boolean raiseFloor,
        @JsonProperty("sole") boolean onlyCopy,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("page") RegisterPosition position)
        implements Message {
    public StateTransferRequest(
            final long epoch, final String incarnation, final boolean raiseFloor, final boolean onlyCopy) {
        this(epoch, incarnation, raiseFloor, onlyCopy, null, null);
    }
}
