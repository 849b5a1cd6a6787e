package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Map;
import org.rowanvalve.common.model.FencingToken;

/**
 * A page of records.
 *
 * @param tokenFloors by shard, the highest fencing token with which the voter was read
 */
@JsonTypeName("HandedRecords")
public record RecordHandoverResponse(
        @JsonProperty("bars") Map<Integer, FencingToken> tokenFloors, RecordPageResponse page) implements Message {}
