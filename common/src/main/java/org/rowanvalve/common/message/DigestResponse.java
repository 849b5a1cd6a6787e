package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

@JsonTypeName("Same")
public record DigestResponse(
        @JsonProperty("same") boolean matches,
        @JsonProperty("sums") List<Long> bucketSums) implements Message {}
