package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The name of one node. */
public record NodeId(@JsonValue String text) implements Comparable<NodeId> {
    @JsonCreator
    public NodeId {
        if (text == null || !text.matches("[a-z0-9][a-z0-9-]{0,40}")) {
            throw new IllegalArgumentException("bad node id: " + text);
        }
    }

    public static NodeId of(final String text) {
        return new NodeId(text);
    }

    @Override
    public int compareTo(final NodeId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
