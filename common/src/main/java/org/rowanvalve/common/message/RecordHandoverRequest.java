package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * Like {@link RegisterHandoverRequest} for records of keyed requests: those of the buckets whose {@code checksums}
 * differ, after the key {@code afterKey}; answered by one page.
 */
@JsonTypeName("HandoverRecords")
public record RecordHandoverRequest(
        @JsonProperty("voters") ChosenItem votingSet,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("after") String afterKey)
        implements Message {}
