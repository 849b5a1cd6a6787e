package org.rowanvalve.control.election;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.control.json.Json;

/**
 * The register that names the leader. {@code incarnation}: the start of the leader that was elected; {@code renewals}:
 * how often it renewed in this term; {@code released}: it resigned, so that another need not wait; {@code resumptions}:
 * how often the state of its electors was the only copy left; {@code leaseMs}, {@code marginMs}: the time-outs it leads
 * by.
 */
public record Leadership(
        @JsonProperty("holder") String leader,
        @JsonProperty("boot") String incarnation,
        long term,
        @JsonProperty("beat") long renewals,
        @JsonProperty("free") boolean released,
        @JsonProperty("lives") long resumptions,
        @JsonProperty("reign") long leaseMs,
        @JsonProperty("slack") long marginMs) {
    /** A record without a duration was written by a release that used the D of shards. */
    long leaseMs(final LeaseTimings timings) {
        return leaseMs > 0 ? leaseMs : timings.leaseMs();
    }

    long marginMs(final LeaseTimings timings) {
        return leaseMs > 0 ? marginMs : timings.marginMs();
    }

    /** The leadership of the item; released, in term 0, where it does not exist. */
    public static Leadership of(final Item item) {
        return item.exists() ? Json.read(item.body(), Leadership.class) : new Leadership("", "", 0, 0, true, 0, 0, 0);
    }
}
