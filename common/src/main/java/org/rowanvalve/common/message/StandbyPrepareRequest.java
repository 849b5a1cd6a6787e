package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Sent by the leader to a standby: asks it to prepare for voting in the voting set that follows this epoch. */
@JsonTypeName("CatchUp")
public record StandbyPrepareRequest(long epoch) implements Message {}
