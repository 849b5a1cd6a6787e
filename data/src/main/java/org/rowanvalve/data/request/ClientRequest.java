package org.rowanvalve.data.request;

import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.model.HostName;

/**
 * A client's request.
 *
 * @param requestId the ID that the client chose for this attempt, or empty if it sent none
 * @param timeoutMs how much longer the client waits, in ms, or 0 if it sent no timeout
 * @param range the value of the Range header, or null
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
    public ClientRequest {
        host = HostName.normalize(host);
    }

    public ClientRequest(
            final String method, final String path, final String key, final byte[] body, final String contentType) {
        this(method, "", path, key, body, contentType, "", 0, null, Map.of());
    }

    /** The value of the If-Range header, or null. */
    public String ifRange() {
        return headers.entrySet().stream()
                .filter(header -> header.getKey().equalsIgnoreCase("If-Range"))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    /** Returns a copy without conditional headers, for a response that is shared by several clients. */
    public ClientRequest withoutConditions() {
        final Map<String, String> remaining = new TreeMap<>(headers);
        remaining.keySet().removeIf(name -> name.regionMatches(true, 0, "if-", 0, 3));
        return new ClientRequest(method, host, path, key, body, contentType, requestId, timeoutMs, range, remaining);
    }
}
