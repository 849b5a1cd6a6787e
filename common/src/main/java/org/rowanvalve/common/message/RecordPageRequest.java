package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** Records of the named cells, in order of cell and key, from behind the key {@code afterKey} of the first cell. */
@JsonTypeName("KeepCells")
public record RecordPageRequest(
        long epoch,
        @JsonProperty("cells") List<Integer> buckets,
        @JsonProperty("after") String afterKey) implements Message {}
