package org.rowanvalve.server.http;

/**
 * The state of a client's connection. Reading a request from a connection and ending it exclude each other: both are
 * atomic transitions out of {@link #RESTING}.
 */
enum ConnectionState {
    /** Part of a request, or a request without its complete response, is on the connection. */
    ACTIVE,
    /** Nothing is on the connection: the next byte begins a request. */
    RESTING,
    /** The last response told the client to close the connection, which has not happened yet. */
    FINISHED,
    /** Closed by this node. Nothing more is read from it. */
    ENDED
}
