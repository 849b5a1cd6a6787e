package org.rowanvalve.data.request;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.json.Json;

/**
 * A response to a client.
 *
 * @param fate whether the request was executed, was rejected and will never be executed, or has an unknown outcome
 * @param retryAfterMs the delay after which the client should retry, in ms, or 0 if none is given
 */
public record ClientResponse(
        int status, RequestOutcome fate, Map<String, String> headers, byte[] body, long retryAfterMs) {
    public ClientResponse(
            final int status, final RequestOutcome fate, final Map<String, String> headers, final byte[] body) {
        this(status, fate, headers, body, 0);
    }

    /**
     * Creates a response to a request that was not handed to an edge, or that its edge did not accept.
     *
     * @param retryMs the delay after which the client should retry, in ms
     */
    public static ClientResponse notAccepted(final int status, final String reason, final long retryMs) {
        return reject(status, reason, retryMs);
    }

    /** Creates a response to a request that was not executed and never will be; see {@link RequestFailure}. */
    static ClientResponse reject(final int status, final String reason, final long retryMs) {
        return create(status, RequestOutcome.REFUSED, reason, retryMs);
    }

    /** Creates a 504 response to a request that may or may not have been executed; see {@link RequestFailure}. */
    static ClientResponse unknownOutcome(final String reason) {
        return create(504, RequestOutcome.UNKNOWN, reason, 0);
    }

    private static ClientResponse create(
            final int status, final RequestOutcome fate, final String reason, final long retryMs) {
        final Map<String, String> headers = retryMs > 0
                ? Map.of("Retry-After", String.valueOf((retryMs + 999) / 1000), "Content-Type", "application/json")
                : Map.of("Content-Type", "application/json");
        final String body = Json.write(
                retryMs > 0
                        ? Map.of("fate", fate, "reason", reason, "retryAfterMs", retryMs)
                        : Map.of("fate", fate, "reason", reason));
        return new ClientResponse(status, fate, headers, body.getBytes(StandardCharsets.UTF_8), retryMs);
    }
}
