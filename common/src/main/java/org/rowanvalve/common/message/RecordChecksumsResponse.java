package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.FencingToken;

/**
 * {@code complete}: whether this replica lacks none of its records; {@code tokenFloors}: by shard the highest token
 * that it was read with.
 */
@JsonTypeName("KeptSums")
public record RecordChecksumsResponse(
        @JsonProperty("ok") boolean complete,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("bars") Map<Integer, FencingToken> tokenFloors)
        implements Message {}
