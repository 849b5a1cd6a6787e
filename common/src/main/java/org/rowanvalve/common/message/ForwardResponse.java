package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Map;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.VersionVector;

/**
 * The response to a {@link ForwardRequest}.
 *
 * @param service the service that responded, if the route is split over several
 * @param unusedAttempts how many of the granted attempts were certainly not made and never will be
 */
@JsonTypeName("Filled")
public record ForwardResponse(
        RequestOutcome fate,
        @JsonProperty("why") String reason,
        int status,
        FencingToken token,
        @JsonProperty("heads") Map<String, String> headers,
        byte[] body,
        @JsonProperty("age") long ageMs,
        @JsonProperty("mark") VersionVector versions,
        @JsonProperty("retryMs") long retryAfterMs,
        String service,
        @JsonProperty("unused") int unusedAttempts)
        implements Message {
    /** The reason of a rejection: the shield has not yet learned a version of an item that the edge uses. */
    public static final String BEHIND = "the holder's frame is behind";

    public boolean isBehind() {
        return BEHIND.equals(reason);
    }

    public ForwardResponse withUnusedAttempts(final int count) {
        return new ForwardResponse(
                fate, reason, status, token, headers, body, ageMs, versions, retryAfterMs, service, count);
    }

    public ForwardResponse(
            final RequestOutcome fate,
            final String reason,
            final int status,
            final FencingToken token,
            final Map<String, String> headers,
            final byte[] body,
            final long ageMs,
            final VersionVector versions,
            final long retryAfterMs,
            final String service) {
        this(fate, reason, status, token, headers, body, ageMs, versions, retryAfterMs, service, 0);
    }

    public ForwardResponse(
            final RequestOutcome fate,
            final String reason,
            final int status,
            final FencingToken token,
            final Map<String, String> headers,
            final byte[] body,
            final long ageMs,
            final VersionVector versions,
            final long retryAfterMs) {
        this(fate, reason, status, token, headers, body, ageMs, versions, retryAfterMs, null);
    }
}
