package org.rowanvalve.data;

import java.util.Map;
import java.util.TreeMap;

/**
 * A caller's request. {@code id}: the caller's own name for this try, empty where it gave none; {@code spanMs}: how much
 * longer the caller waits, 0 where it did not say; {@code range}: its wish for a part, or null.
 */
public record ClientRequest(
        String method,
        String host,
        String path,
        String key,
        byte[] body,
        String type,
        String id,
        long spanMs,
        String range,
        Map<String, String> heads) {
    public ClientRequest(
            final String method, final String path, final String key, final byte[] body, final String type) {
        this(method, "", path, key, body, type, "", 0, null, Map.of());
    }

    /** Without the conditions of this one caller, for an answer that many get. */
    ClientRequest shared() {
        final Map<String, String> rest = new TreeMap<>(heads);
        rest.keySet().removeIf(k -> k.regionMatches(true, 0, "if-", 0, 3));
        return new ClientRequest(method, host, path, key, body, type, id, spanMs, range, rest);
    }
}
