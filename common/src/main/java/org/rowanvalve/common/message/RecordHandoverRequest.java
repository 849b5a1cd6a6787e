package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The same for records of keyed requests: those of the cells whose {@code checksums} differ, from behind the key {@code
 * after} on; answered by a page of {@link HandedRecords}.
 */
@JsonTypeName("HandoverRecords")
public record RecordHandoverRequest(
        @JsonProperty("voters") ChosenItem votingSet,
        @JsonProperty("sums") List<Long> checksums,
        @JsonProperty("after") String afterKey)
        implements Message {}
