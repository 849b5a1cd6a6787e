package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How long one edge has not been heard from: its place in the member list, and {@code units} of {@link
 * HeartbeatResponse#SILENCE_UNIT_MS} ms.
 */
public record EdgeSilence(@JsonProperty("at") int position, int units) {}
