package org.rowanvalve.server.http;

/** Why this node ended a client's connection, as events name it. */
enum ConnectionEndCause {
    /** It rested for longer than its client was told that it may. */
    REST_OVER("rest-over"),
    /** Its client did not close it after a response that told it to. */
    NOT_CLOSED("not-closed"),
    /** The HTTP server closed it with a request on it that has no response. */
    UNDER_REQUEST("under-request");

    private final String code;

    ConnectionEndCause(final String code) {
        this.code = code;
    }

    String code() {
        return code;
    }
}
