package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** From the lease authority to a standby: get ready to vote in the set after this epoch. */
@JsonTypeName("CatchUp")
public record StandbyPrepareRequest(long epoch) implements Message {}
