package org.rowanvalve.data;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.rowanvalve.control.Json;

/** {@code fate}: done, refused (cannot run any more) or unknown; {@code retryMs}: when to come back, 0 where nothing is said. */
public record Answer(int status, String fate, Map<String, String> heads, byte[] body, long retryMs) {
    public Answer(final int status, final String fate, final Map<String, String> heads, final byte[] body) {
        this(status, fate, heads, body, 0);
    }

    public static final String DONE = "done";
    public static final String REFUSED = "refused";
    public static final String UNKNOWN = "unknown";

    public static Answer reject(final int status, final String why, final long retryMs) {
        return say(status, REFUSED, why, retryMs);
    }

    public static Answer unsure(final String why) {
        return say(504, UNKNOWN, why, 0);
    }

    private static Answer say(final int status, final String fate, final String why, final long retryMs) {
        final Map<String, String> heads = retryMs > 0
                ? Map.of("Retry-After", String.valueOf((retryMs + 999) / 1000), "Content-Type", "application/json")
                : Map.of("Content-Type", "application/json");
        final String text = Json.text(
                retryMs > 0
                        ? Map.of("fate", fate, "reason", why, "retryAfterMs", retryMs)
                        : Map.of("fate", fate, "reason", why));
        return new Answer(status, fate, heads, text.getBytes(StandardCharsets.UTF_8), retryMs);
    }
}
