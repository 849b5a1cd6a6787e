package org.rowanvalve.data.request;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.json.Json;

/** {@code fate}: done, refused (cannot run any more) or unknown; {@code retryAfterMs}: when to come back, 0 where nothing is said. */
public record ClientResponse(
        int status, RequestOutcome fate, Map<String, String> headers, byte[] body, long retryAfterMs) {
    public ClientResponse(
            final int status, final RequestOutcome fate, final Map<String, String> headers, final byte[] body) {
        this(status, fate, headers, body, 0);
    }

    /** Not executed and never will be; {@code retryMs}: when to come back, in ms. */
    public static ClientResponse reject(final int status, final String reason, final long retryMs) {
        return create(status, RequestOutcome.REFUSED, reason, retryMs);
    }

    /** 504: it may have been executed or not. */
    public static ClientResponse unsure(final String reason) {
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
