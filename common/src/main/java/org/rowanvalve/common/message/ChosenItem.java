package org.rowanvalve.common.message;

import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/** An item that a majority of the voters has accepted, with the ballot it was accepted under. */
public record ChosenItem(Ballot ballot, Item item) {}
