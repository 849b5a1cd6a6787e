package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * To a voter of the earlier voting set, from one of {@code votingSet}, the chosen later one: asks for the registers of
 * the buckets from {@code fromBucket} on whose {@code checksums} differ. The asked voter seals its epoch first. With
 * {@code position} the page begins there, and may end within a bucket.
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
