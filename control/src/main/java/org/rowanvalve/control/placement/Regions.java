package org.rowanvalve.control.placement;

/** The regions that shards belong to. */
public interface Regions {
    int indexOf(String cell);

    int count();
}
