package org.rowanvalve.common.message;

import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/** An item that a majority of the voters has accepted, and the ballot under which they accepted it. */
public record ChosenItem(Ballot ballot, Item item) {}
