package org.rowanvalve.common.message;

import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

public record ChosenItem(Ballot ballot, Item item) {}
