package org.rowanvalve.data.request;

/**
 * Why a request ends without an origin's response. What the response states about the execution follows from the {@link
 * ExecutionKnowledge} of the request alone.
 *
 * @param status the status if the request is certainly not executed, or may be repeated
 * @param retryAfterMs the delay after which the client should retry, in ms, or 0 if none is given
 */
public record RequestFailure(int status, String reason, long retryAfterMs) {
    private static final int OUTCOME_UNKNOWN = 504;

    /** A failure after a send without a result. */
    public static RequestFailure unanswered(final String reason) {
        return new RequestFailure(OUTCOME_UNKNOWN, reason, 0);
    }

    /**
     * Returns the response to the client.
     *
     * @param atMostOnce whether the request must not be executed twice; a rejection then promises that it was not executed
     */
    public ClientResponse toResponse(final ExecutionKnowledge knowledge, final boolean atMostOnce) {
        if (status == OUTCOME_UNKNOWN) {
            return ClientResponse.unknownOutcome(reason);
        }
        return atMostOnce && knowledge.mayHaveRun()
                ? ClientResponse.unknownOutcome("an earlier attempt may have been executed: " + reason)
                : ClientResponse.reject(status, reason, retryAfterMs);
    }
}
