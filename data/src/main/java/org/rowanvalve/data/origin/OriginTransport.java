package org.rowanvalve.data.origin;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.control.config.Origin;

/** Sends requests to origins. A request is written only to the origin instance that was announced. */
public interface OriginTransport {
    /** The result of one exchange. {@code NOT_EXECUTED}: the origin stated that it did not execute the request. */
    enum ExchangeResult {
        COMPLETE,
        NOT_SENT,
        NOT_EXECUTED,
        NOT_PERMITTED,
        WRONG_INSTANCE,
        LOST,
        INVALID
    }

    record OutboundRequest(
            String service,
            String method,
            String path,
            String requestId,
            String key,
            byte[] body,
            String contentType,
            long timeoutMs,
            Map<String, String> headers) {
        public OutboundRequest(
                final String service,
                final String method,
                final String path,
                final String requestId,
                final String key,
                final byte[] body,
                final String contentType,
                final long timeoutMs) {
            this(service, method, path, requestId, key, body, contentType, timeoutMs, Map.of());
        }
    }

    /** The load that an origin reported with a response; {@code slots} is 0 if it reported none. */
    record Load(int running, int waiting, int slots) {
        public static final Load NONE = new Load(0, 0, 0);
    }

    /**
     * An origin's response, or the reason why there is none.
     *
     * @param tags the tags by which a cached copy of the response can be purged
     */
    record OriginResponse(
            ExchangeResult result,
            int status,
            Map<String, String> headers,
            byte[] body,
            String reason,
            List<String> tags,
            Load load) {
        public OriginResponse(
                final ExchangeResult result,
                final int status,
                final Map<String, String> headers,
                final byte[] body,
                final String reason) {
            this(result, status, headers, body, reason, List.of(), Load.NONE);
        }

        public static OriginResponse failure(final ExchangeResult result, final String reason) {
            return new OriginResponse(result, 0, Map.of(), new byte[0], reason);
        }
    }

    @FunctionalInterface
    interface Exchange {
        /** Closes the connection; the request may have been executed. */
        void abort();
    }

    /** The permission to write a request, checked in the last step before its bytes are written. */
    @FunctionalInterface
    interface Permission {
        /** Whether the bytes may be written now. */
        boolean mayWrite();
    }

    /** Sends one request to one origin. {@code callback} is called exactly once, in the event loop. */
    Exchange send(Origin origin, OutboundRequest request, Permission permission, Consumer<OriginResponse> callback);

    /** Returns why a response must not be forwarded to a client, or an empty string if it is valid. */
    default String error(final Origin origin, final OutboundRequest sent, final OriginResponse response) {
        return OriginResponseValidator.error(origin, sent, response.headers(), response.body());
    }
}
