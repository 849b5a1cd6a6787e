package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * A page of records.
 *
 * @param checksum the checksum over the records of this page
 * @param nextKey the last key of this page; null after the last page
 */
@JsonTypeName("KeptCells")
public record RecordPageResponse(
        @JsonProperty("ok") boolean complete,
        @JsonProperty("notes") List<AgedRecord> records,
        @JsonProperty("sum") long checksum,
        @JsonProperty("next") String nextKey)
        implements Message {}
