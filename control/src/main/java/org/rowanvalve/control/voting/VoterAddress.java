package org.rowanvalve.control.voting;

import org.rowanvalve.common.model.NodeId;

/** A voter and its network address, written as {@code ID@IP:PORT}. */
public record VoterAddress(NodeId id, String host, int port) {
    /** Parses {@code ID@IP:PORT}. */
    public static VoterAddress parse(final String text) {
        final int at = text.indexOf('@');
        final int colon = text.lastIndexOf(':');
        if (at < 1 || colon < at) {
            throw new IllegalArgumentException("voter address is not of the form ID@IP:PORT: " + text);
        }
        return new VoterAddress(
                NodeId.of(text.substring(0, at)),
                text.substring(at + 1, colon),
                Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return id + "@" + host + ":" + port;
    }
}
