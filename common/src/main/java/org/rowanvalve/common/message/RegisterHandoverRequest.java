package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * To a voter of the earlier voting set, from one of {@code votingSet}, the chosen later one: asks for the registers of
 * the buckets from {@code fromBucket} on whose {@code checksums} differ. The asked voter seals its epoch first.
 */
@JsonTypeName("Handover")
public record RegisterHandoverRequest(
        @JsonProperty("voters") ChosenItem votingSet,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("from") int fromBucket)
        implements Message {}
