package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * {@code accepted}: stored and synced; {@code incomplete}: this replica has lost records and does not count; {@code
 * staleEra}: the writer has to read this replica again; {@code standing}: the record that was kept in place of the one
 * written, or none. A writer must not take such an answer for an acceptance.
 */
@JsonTypeName("KeepSeen")
public record RecordWriteResponse(
        @JsonProperty("ok") boolean accepted,
        @JsonProperty("lapse") boolean incomplete,
        @JsonProperty("stale") boolean staleEra,
        @JsonProperty("stands") KeyedRecord standing)
        implements Message {
    public RecordWriteResponse(final boolean accepted, final boolean incomplete, final boolean staleEra) {
        this(accepted, incomplete, staleEra, null);
    }
}
