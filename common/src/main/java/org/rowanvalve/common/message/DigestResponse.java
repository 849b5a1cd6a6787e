package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The response to a {@link DigestRequest}.
 *
 * @param matches whether the voter has exactly the items of the sender
 * @param bucketSums if the items differ, the voter's checksum of each bucket, so that only differing buckets are
 *     compared
 */
@JsonTypeName("Same")
public record DigestResponse(
        @JsonProperty("same") boolean matches,
        @JsonProperty("sums") List<Long> bucketSums) implements Message {}
