package org.rowanvalve.data.origin;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.control.config.Origin;

/** Sends requests to origins. Nothing reaches an origin that is not the announced one. */
public interface OriginTransport {
    /** {@code NOT_EXECUTED}: the origin said that it did not run the request. */
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

    /** The load that an origin reported with a response; {@code slots} 0 where it reported none. */
    record Load(int running, int waiting, int slots) {
        public static final Load NONE = new Load(0, 0, 0);
    }

    /** {@code tags}: names under which the answer may be purged. */
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

        public static OriginResponse without(final ExchangeResult end, final String why) {
            return new OriginResponse(end, 0, Map.of(), new byte[0], why);
        }
    }

    @FunctionalInterface
    interface Exchange {
        /** Closes the connection; the request may have been executed. */
        void abort();
    }

    /** Checked in the last step before the request's bytes are written. */
    @FunctionalInterface
    interface Permission {
        /** Whether the bytes may be written now. */
        boolean mayWrite();
    }

    /** Sends one request to one origin; {@code then} is called once, in the event loop. */
    Exchange send(Origin origin, OutboundRequest request, Permission gate, Consumer<OriginResponse> then);

    /** What a response lacks to be given to a client; empty where it lacks nothing. */
    default String error(final Origin origin, final OutboundRequest sent, final OriginResponse response) {
        return OriginResponseValidator.error(origin, sent, response.headers(), response.body());
    }
}
