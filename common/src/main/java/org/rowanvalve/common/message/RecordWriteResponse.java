package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * The response to a {@link RecordWriteRequest}.
 *
 * @param accepted whether the record was stored and synced to disk
 * @param incomplete whether this replica has lost records and therefore does not count towards a majority
 * @param staleEra whether the writer has to read this replica again
 * @param standing the record that the replica kept instead of the written one, or null; a writer must not treat a
 *     response with such a record as an acceptance
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
