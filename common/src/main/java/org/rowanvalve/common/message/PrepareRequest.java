package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.ItemId;

@JsonTypeName("Prepare")
public record PrepareRequest(long epoch, ItemId id, Ballot ballot) implements Message {}
