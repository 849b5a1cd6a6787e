package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * One replica asks another for the checksums of its buckets; with {@code endEra} the era of the asked one ends, once
 * for each {@code requester}.
 */
@JsonTypeName("KeepSums")
public record RecordChecksumsRequest(
        long epoch,
        @JsonProperty("asker") String requester,
        @JsonProperty("bar") boolean endEra) implements Message {}
