package org.rowanvalve.control.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ValidationError;

/** An HTTP status with the members of its JSON body. */
public record ApiResponse(int status, Map<String, Object> body) {
    /** A 200 response. {@code pairs}: further members of the body as alternating names and values. */
    public static ApiResponse done(final Object... pairs) {
        final Map<String, Object> body = members("fate", "done");
        body.putAll(members(pairs));
        return new ApiResponse(200, body);
    }

    /** A 503 response: the result is not known, and the client may repeat the same request after {@code retryMs}. */
    public static ApiResponse unavailable(final String reason, final long retryMs) {
        return new ApiResponse(503, members("fate", "refused", "reason", reason, "retryAfterMs", retryMs));
    }

    /**
     * A 409 response: the version was already used with a different body. {@code version}: the highest version of the
     * item.
     */
    public static ApiResponse conflict(final ItemId item, final long version) {
        return new ApiResponse(
                409,
                members(
                        "fate",
                        "refused",
                        "item",
                        item.kind().label() + "/" + item.name(),
                        "reason",
                        "this version was taken with another body",
                        "version",
                        version));
    }

    /** Whether the request is rejected permanently, so that repeating it cannot succeed. */
    boolean isRefusal() {
        return status / 100 == 4;
    }

    /** The journal event for an update that was rejected with this response. */
    Event refusalEvent() {
        final List<?> findings = body.get("findings") instanceof List<?> list ? list : List.of();
        final Map<?, ?> firstFinding = findings.isEmpty() ? Map.of() : (Map<?, ?>) findings.get(0);
        return Event.of(
                EventCode.UPDATE_REFUSED,
                "status",
                status,
                "errors",
                findings.size(),
                "path",
                String.valueOf(firstFinding.isEmpty() ? body.getOrDefault("item", "") : firstFinding.get("path")),
                "why",
                String.valueOf(firstFinding.isEmpty() ? body.getOrDefault("reason", "") : firstFinding.get("text")));
    }

    /** The members of a JSON object from alternating names and values. */
    static Map<String, Object> members(final Object... pairs) {
        final Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    /** A 422 response: the request has validation errors, and no part of it was applied. */
    public static ApiResponse invalid(final List<ValidationError> errors) {
        return new ApiResponse(
                422,
                members(
                        "fate",
                        "refused",
                        "reason",
                        "the statement has faults",
                        "findings",
                        errors.stream()
                                .map(error -> members("path", error.path(), "text", error.message()))
                                .toList()));
    }
}
