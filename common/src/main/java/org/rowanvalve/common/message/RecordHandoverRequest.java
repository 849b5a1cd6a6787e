package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The equivalent of {@link RegisterHandoverRequest} for records of keyed requests. Asks for one page of the records in
 * the buckets whose {@code checksums} differ, after the key {@code afterKey}.
 */
@JsonTypeName("HandoverRecords")
public record RecordHandoverRequest(
        @JsonProperty("voters") ChosenItem votingSet,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("after") String afterKey)
        implements Message {}
