package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Map;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.VersionVector;

/**
 * {@code requestId}: the caller's own name for this try; {@code passThrough}: to be passed through without the right to fill;
 * {@code retry}: another origin may have got this request before; {@code headers}: the caller's other headers;
 * {@code attempts}: to how many origins the receiver may send it, each further one being asked for by
 * {@link MoreAttempts}; a sender that states none leaves it to the route.
 */
@JsonTypeName("Fill")
public record ForwardRequest(
        long serial,
        String route,
        String method,
        String host,
        String path,
        int shard,
        @JsonProperty("known") FencingToken knownToken,
        @JsonProperty("mark") VersionVector versions,
        String key,
        byte[] body,
        @JsonProperty("type") String contentType,
        @JsonProperty("span") long timeoutMs,
        @JsonProperty("id") String requestId,
        @JsonProperty("pass") boolean passThrough,
        @JsonProperty("extra") boolean retry,
        @JsonProperty("heads") Map<String, String> headers,
        Integer attempts)
        implements Message {}
