package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("KeepSeen")
public record RecordWriteResponse(
        @JsonProperty("ok") boolean accepted,
        @JsonProperty("lapse") boolean incomplete,
        @JsonProperty("stale") boolean staleEra)
        implements Message {}
