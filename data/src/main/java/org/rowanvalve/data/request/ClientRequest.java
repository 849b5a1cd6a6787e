package org.rowanvalve.data.request;

import java.util.Map;
import java.util.TreeMap;

/**
 * A client's request. {@code requestId}: the client's own name for this attempt, empty where it gave none; {@code
 * timeoutMs}: how much longer the client waits, 0 where it did not say; {@code range}: the part it asks for, or null.
 */
public record ClientRequest(
        String method,
        String host,
        String path,
        String key,
        byte[] body,
        String contentType,
        String requestId,
        long timeoutMs,
        String range,
        Map<String, String> headers) {
    public ClientRequest(
            final String method, final String path, final String key, final byte[] body, final String contentType) {
        this(method, "", path, key, body, contentType, "", 0, null, Map.of());
    }

    /** Without the conditions of this one caller, for an answer that many get. */
    public ClientRequest withoutConditions() {
        final Map<String, String> remaining = new TreeMap<>(headers);
        remaining.keySet().removeIf(k -> k.regionMatches(true, 0, "if-", 0, 3));
        return new ClientRequest(method, host, path, key, body, contentType, requestId, timeoutMs, range, remaining);
    }
}
