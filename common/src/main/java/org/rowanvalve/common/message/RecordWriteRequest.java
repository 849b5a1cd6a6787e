package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("KeepWrite")
public record RecordWriteRequest(
        long epoch, @JsonProperty("note") KeyedRecord keyedRecord, long era) implements Message {}
