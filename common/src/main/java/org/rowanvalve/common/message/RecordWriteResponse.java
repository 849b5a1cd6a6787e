package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * {@code accepted}: stored and synced; {@code incomplete}: this replica has lost records and does not count; {@code
 * staleEra}: the writer has to read this replica again.
 */
@JsonTypeName("KeepSeen")
public record RecordWriteResponse(
        @JsonProperty("ok") boolean accepted,
        @JsonProperty("lapse") boolean incomplete,
        @JsonProperty("stale") boolean staleEra)
        implements Message {}
