package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A record with its age and its total retention time, so that a copy expires no later than the original. */
public record AgedRecord(
        @JsonProperty("note") KeyedRecord keyedRecord,
        @JsonProperty("age") long ageMs,
        @JsonProperty("stay") long retentionMs) {}
