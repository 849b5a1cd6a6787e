package org.rowanvalve.control.placement;

/** The regions that shards are assigned to. */
public interface Regions {
    int indexOf(String location);

    int count();
}
