package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * A voter of the chosen later voting set {@code votingSet} asks a voter of the earlier voting set for the registers of
 * the buckets from {@code fromBucket} on whose {@code checksums} differ. The receiving voter seals its epoch before it
 * responds. If {@code position} is given, the page begins there and may end within a bucket.
 */
@JsonTypeName("Handover")
public record RegisterHandoverRequest(
        @JsonProperty("voters") ChosenItem votingSet,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("from") int fromBucket,
        @JsonProperty("page") RegisterPosition position)
        implements Message {
    public RegisterHandoverRequest(
            final ChosenItem votingSet, final List<Long> checksums, final RegisterPosition position) {
        this(votingSet, checksums, position.bucket(), position);
    }
}
