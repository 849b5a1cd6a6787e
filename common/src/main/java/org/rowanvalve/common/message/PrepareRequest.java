package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.ItemId;

/** Phase one of a write: asks a voter to promise not to accept any ballot below {@code ballot} for this register. */
@JsonTypeName("Prepare")
public record PrepareRequest(long epoch, ItemId id, Ballot ballot) implements Message {}
