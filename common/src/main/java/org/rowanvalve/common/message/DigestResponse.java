package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * {@code matches}: whether the voter holds exactly the items of the request. {@code bucketSums}: where it does not, its
 * checksum of each bucket, so that only those that differ are compared.
 */
@JsonTypeName("Same")
public record DigestResponse(
        @JsonProperty("same") boolean matches,
        @JsonProperty("sums") List<Long> bucketSums) implements Message {}
