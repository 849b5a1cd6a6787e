package org.rowanvalve.testkit.scenario;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.json.Json;

/**
 * The answer to one request of a client.
 *
 * @param fate what the edge says has become of the request
 * @param stamp of the origin that served it, or null
 * @param requestId under which the origin got it, or null
 * @param digest that the body should have, or null
 */
public record ClientAnswer(int status, String fate, String stamp, String requestId, String digest, byte[] body) {
    private static final String DONE = "done";

    public boolean isDone() {
        return fate.equals(DONE);
    }

    boolean isWhole() {
        return Hash.sha256Hex(body).equals(digest);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** What the origin wrote; empty where the request was not served. */
    Map<?, ?> content() {
        if (!isDone()) {
            return Map.of();
        }
        try {
            return Json.read(text(), Map.class);
        } catch (final IllegalStateException e) {
            return Map.of("path", "unreadable");
        }
    }
}
