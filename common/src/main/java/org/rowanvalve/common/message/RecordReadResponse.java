package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.FencingToken;

/**
 * {@code highestToken}: the highest token that this replica was read with, above that of the request where the read is
 * refused; {@code nextKey}: what to ask the next page with, or none after the last. A replica that lost records gives
 * none.
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
