package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The time since the last heartbeat of one edge.
 *
 * @param position the position of the edge in the member list
 * @param units the time in units of {@link HeartbeatResponse#SILENCE_UNIT_MS} ms
 */
public record EdgeSilence(@JsonProperty("at") int position, int units) {}
