package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.FencingToken;

/**
 * The response to a {@link RecordChecksumsRequest}.
 *
 * @param complete whether this replica has lost none of its records
 * @param tokenFloors by shard, the highest fencing token with which this replica was read
 */
@JsonTypeName("KeptSums")
public record RecordChecksumsResponse(
        @JsonProperty("ok") boolean complete,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("bars") Map<Integer, FencingToken> tokenFloors)
        implements Message {}
