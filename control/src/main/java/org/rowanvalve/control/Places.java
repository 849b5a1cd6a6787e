package org.rowanvalve.control;

/** The places that shards belong to. */
public interface Places {
    int at(String cell);

    int count();
}
