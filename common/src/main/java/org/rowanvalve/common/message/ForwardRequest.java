package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Map;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.VersionVector;

/**
 * An edge forwards a request to a shield.
 *
 * @param requestId the client's id of this attempt
 * @param passThrough whether the request is to be passed through without a lease
 * @param retry whether another origin may already have received this request
 * @param headers the other headers of the client
 * @param attempts how many origins the receiver may send the request to; it asks for each further one by {@link
 *     AttemptGrantRequest}. If null, the route decides.
 * @param incarnation the incarnation of the sender, by which it can cancel the request with a {@link CancelRequest}
 * @param routeVersion the version of the route by which the sender forwards the request
 * @param service the service that this version of the route selects, if the sender's view is confirmed
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
        Integer attempts,
        @JsonProperty("boot") String incarnation,
        @JsonProperty("routeVer") Long routeVersion,
        String service)
        implements Message {}
