package org.rowanvalve.common;

/** One process of the network as its heartbeats describe it. */
public record Member(
        NodeId id, Role role, String cell, String host, int port, String boot, Condition condition, String version) {
    public Member with(final Condition c) {
        return new Member(id, role, cell, host, port, boot, c, version);
    }
}
