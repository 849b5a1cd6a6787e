package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * One replica asks another for the checksums of its buckets.
 *
 * @param endEra whether the responding replica ends its era, which it does once for each {@code requester}
 */
@JsonTypeName("KeepSums")
public record RecordChecksumsRequest(
        long epoch,
        @JsonProperty("asker") String requester,
        @JsonProperty("bar") boolean endEra) implements Message {}
