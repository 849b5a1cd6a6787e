package org.rowanvalve.control.election;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.control.json.Json;

/**
 * The body of the register that names the leader.
 *
 * @param leader the id of the leader
 * @param incarnation the run of the leader's process that was elected
 * @param renewals the number of renewals in this term
 * @param released whether the leader has resigned, so that another node need not wait for the lease to expire
 * @param resumptions how often the state of the voters was restored from the only remaining copy
 * @param leaseMs the duration of the lease
 * @param marginMs the margin within the lease
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
    /** If the record has no duration, it was written by a release that used the lease duration of shards. */
    long leaseMs(final LeaseTimings timings) {
        return leaseMs > 0 ? leaseMs : timings.leaseMs();
    }

    long marginMs(final LeaseTimings timings) {
        return leaseMs > 0 ? marginMs : timings.marginMs();
    }

    /** Parses the leadership from the item; if the item does not exist, the result is a released leadership of term 0. */
    public static Leadership of(final Item item) {
        return item.exists() ? Json.read(item.body(), Leadership.class) : new Leadership("", "", 0, 0, true, 0, 0, 0);
    }
}
