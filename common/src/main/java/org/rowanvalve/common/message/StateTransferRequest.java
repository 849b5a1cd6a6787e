package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * A voter that lost its state asks the others of its epoch for theirs. {@code incarnation}: names this start of it;
 * {@code raiseFloor}: whether the asked voter is to raise its ballot floor and send registers; {@code onlyCopy}: no other
 * copy is left. With {@code position} it is one page of those in whose buckets the {@code checksums} differ, from there on;
 * without, it is all of them.
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
