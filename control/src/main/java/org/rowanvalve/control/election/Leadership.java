package org.rowanvalve.control.election;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.control.json.Json;

public record Leadership(
        @JsonProperty("holder") String leader,
        @JsonProperty("boot") String incarnation,
        long term,
        @JsonProperty("beat") long renewals,
        @JsonProperty("free") boolean released,
        @JsonProperty("lives") long resumptions,
        @JsonProperty("reign") long leaseMs,
        @JsonProperty("slack") long marginMs) {
    /** A body of a version that did not state its duration had the shards' lease. */
    long leaseMs(final LeaseTimings timings) {
        return leaseMs > 0 ? leaseMs : timings.leaseMs();
    }

    long marginMs(final LeaseTimings timings) {
        return leaseMs > 0 ? marginMs : timings.marginMs();
    }

    public static Leadership of(final Item item) {
        return item.exists() ? Json.read(item.body(), Leadership.class) : new Leadership("", "", 0, 0, true, 0, 0, 0);
    }
}
