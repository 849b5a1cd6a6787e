package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * To a voter of the earlier set, from one of {@code votingSet}, the chosen later set: what stands in the registers of the
 * cells from {@code fromBucket} on whose {@code checksums} differ. Whoever is asked seals its epoch first.
 */
@JsonTypeName("Handover")
public record RegisterHandoverRequest(
        @JsonProperty("voters") ChosenItem votingSet,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("from") int fromBucket)
        implements Message {}
