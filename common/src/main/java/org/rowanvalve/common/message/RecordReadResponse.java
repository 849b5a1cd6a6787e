package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.FencingToken;

/**
 * The response to a {@link RecordReadRequest}. A replica that lost records returns none.
 *
 * @param highestToken the highest fencing token with which this replica was read; it is above the token of the request
 *     if the read is rejected
 * @param nextKey the key with which to ask for the next page; null after the last page
 */
@JsonTypeName("Kept")
public record RecordReadResponse(
        @JsonProperty("ok") boolean granted,
        @JsonProperty("lapse") boolean incomplete,
        @JsonProperty("high") FencingToken highestToken,
        @JsonProperty("notes") List<KeyedRecord> records,
        long era,
        @JsonProperty("next") String nextKey)
        implements Message {}
