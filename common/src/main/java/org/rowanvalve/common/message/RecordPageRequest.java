package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * Asks for a page of the records in {@code buckets}, ordered by bucket and key. The page starts after the key {@code
 * afterKey} of the first bucket.
 */
@JsonTypeName("KeepCells")
public record RecordPageRequest(
        long epoch,
        @JsonProperty("cells") List<Integer> buckets,
        @JsonProperty("after") String afterKey) implements Message {}
