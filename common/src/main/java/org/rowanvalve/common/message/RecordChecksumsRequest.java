package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** A keeper asks another for the sums of its cells; with {@code endEra} that one's era ends once for each {@code requester}. */
@JsonTypeName("KeepSums")
public record RecordChecksumsRequest(
        long epoch,
        @JsonProperty("asker") String requester,
        @JsonProperty("bar") boolean endEra) implements Message {}
