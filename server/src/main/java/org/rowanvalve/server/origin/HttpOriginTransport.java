package org.rowanvalve.server.origin;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.Promise;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.data.origin.OriginTransport;

/** Sends requests to origins over Jetty's client. Core thread only, except for Jetty's call-backs, which post to it. */
public final class HttpOriginTransport implements OriginTransport {
    private static final int BODY_LIMIT = 4 << 20;
    private static final int IDENTITY_LIMIT = 8 << 10;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");
    private final EventLoop loop;
    private final HttpClient httpClient;
    private final OriginProtocol protocol;
    private final IdleConnections idleConnections = new IdleConnections(OriginConnection::isSilent);

    public record InstanceIdentity(
            String service, @JsonProperty("stamp") String instance) {}

    public HttpOriginTransport(final EventLoop loop, final HttpClient httpClient) {
        this(loop, httpClient, new DefaultOriginProtocol());
    }

    public HttpOriginTransport(final EventLoop loop, final HttpClient httpClient, final OriginProtocol protocol) {
        this.protocol = protocol;
        this.loop = loop;
        this.httpClient = httpClient;
    }

    @Override
    public Exchange send(
            final Origin origin,
            final OutboundRequest request,
            final Permission permission,
            final Consumer<OriginResponse> callback) {
        final PendingExchange exchange = new PendingExchange(origin, request, permission, callback);
        exchange.start();
        return exchange;
    }

    @Override
    public String error(final Origin origin, final OutboundRequest request, final OriginResponse response) {
        return protocol.error(origin, request, response);
    }

    private final class PendingExchange implements Exchange {
        private final Origin origin;
        private final OutboundRequest request;
        private final Permission permission;
        private final Consumer<OriginResponse> callback;
        private final String connectionKey;
        private final long deadline;
        private OriginConnection connection;
        private boolean finished;
        private boolean sent;
        private long sentAt;
        private long restedMs;

        PendingExchange(
                final Origin origin,
                final OutboundRequest request,
                final Permission permission,
                final Consumer<OriginResponse> callback) {
            this.permission = permission;
            this.origin = origin;
            this.request = request;
            this.callback = callback;
            this.connectionKey = origin.host() + ":" + origin.port() + "|" + origin.service() + "|" + origin.instance();
            this.deadline = loop.now() + Math.max(50, request.timeoutMs());
        }

        void start() {
            loop.schedule(
                    Math.max(50, request.timeoutMs()),
                    () -> finish(
                            OriginResponse.failure(
                                    sent ? ExchangeResult.LOST : ExchangeResult.NOT_SENT, "no answer in time"),
                            false));
            final IdleConnections.Rested rested = idleConnections.take(
                    connectionKey, origin.service(), request.requestId(), isRepeatable(), loop.now());
            if (rested != null) {
                connection = rested.connection();
                restedMs = rested.rest();
                sendRequest();
                return;
            }
            if (!httpClient.isStarted()) {
                loop.execute(() -> finish(
                        OriginResponse.failure(ExchangeResult.NOT_SENT, "the client is not started yet"), false));
                return;
            }
            final Destination destination = httpClient.resolveDestination(newRequest("GET", "/"));
            destination.newConnection(Promise.from(
                    opened -> loop.execute(() -> onConnected(new OriginConnection(opened))),
                    failure -> loop.execute(() -> finish(
                            OriginResponse.failure(ExchangeResult.NOT_SENT, "no circuit: " + failure.getMessage()),
                            false))));
        }

        /**
         * An idempotent request without a key may be sent again elsewhere; of all others it must be known whether they
         * were executed.
         */
        private boolean isRepeatable() {
            return request.key() == null && SAFE_METHODS.contains(request.method());
        }

        /** A target that is no URI by the letter goes out as it came. */
        private Request newRequest(final String method, final String path) {
            try {
                return httpClient
                        .newRequest(URI.create("http://" + origin.host() + ":" + origin.port() + path))
                        .method(method);
            } catch (final IllegalArgumentException failure) {
                return httpClient
                        .newRequest(origin.host(), origin.port())
                        .path(path)
                        .method(method);
            }
        }

        private void onConnected(final OriginConnection opened) {
            connection = opened;
            if (finished) {
                opened.close();
                return;
            }
            if (!protocol.asksForIdentity()) {
                sendRequest();
                return;
            }
            opened.sendIdentityRequest(
                    newRequest("GET", "/rv/identity"),
                    new ResponseCollector(IDENTITY_LIMIT, collected -> loop.execute(() -> onIdentity(collected))));
        }

        private void onIdentity(final ResponseCollector.Collected collected) {
            if (finished) {
                connection.close();
                return;
            }
            final int status = collected.isWhole() ? collected.status() : 0;
            InstanceIdentity identity = null;
            try {
                identity = status == HttpStatus.OK_200
                        ? Json.read(new String(collected.body(), StandardCharsets.UTF_8), InstanceIdentity.class)
                        : null;
            } catch (final IllegalStateException failure) {
                identity = null;
            }
            if (identity == null) {
                finish(OriginResponse.failure(ExchangeResult.NOT_SENT, "identity status " + status), false);
            } else if (!origin.service().equals(identity.service())
                    || !origin.instance().equals(identity.instance())) {
                finish(OriginResponse.failure(ExchangeResult.WRONG_INSTANCE, "identity " + identity), false);
            } else if (loop.now() >= deadline) {
                finish(OriginResponse.failure(ExchangeResult.NOT_SENT, "too late to send"), true);
            } else {
                sendRequest();
            }
        }

        private void sendRequest() {
            final Request result = newRequest(request.method(), request.path());
            result.headers(h -> protocol.writeHeaders(origin, request, h::put));
            if (request.body() != null && request.body().length > 0) {
                result.body(new BytesRequestContent(
                        request.contentType() == null ? "application/json" : request.contentType(), request.body()));
            }
            if (!permission.mayWrite()) {
                finish(
                        OriginResponse.failure(
                                ExchangeResult.NOT_PERMITTED, "the right to send ended before the bytes left"),
                        true);
                return;
            }
            sent = true;
            sentAt = loop.now();
            connection.send(request.requestId(), result, new ResponseCollector(BODY_LIMIT, this::onCollected));
        }

        private void onCollected(final ResponseCollector.Collected collected) {
            final OriginResponse response = collected.isWhole()
                    ? toResponse(collected.status(), collected.headers(), collected.body())
                    : OriginResponse.failure(
                            ExchangeResult.LOST,
                            String.valueOf(collected.failure().getMessage()));
            loop.execute(() -> onResponse(response, collected.isWhole()));
        }

        private void onResponse(final OriginResponse response, final boolean succeeded) {
            if (!finished && !succeeded) {
                idleConnections.lost(origin.service(), restedMs, loop.now() - sentAt, loop.now());
            }
            finish(response, succeeded && response.result() != ExchangeResult.INVALID);
        }

        /**
         * A response that cannot be shown to be complete and of this request is discarded, and its connection is
         * closed.
         */
        private OriginResponse toResponse(final int status, final HttpFields fields, final byte[] body) {
            final Map<String, String> headers = new TreeMap<>();
            for (final HttpField field : fields) {
                headers.put(field.getLowerCaseName(), field.getValue());
            }
            if (status < HttpStatus.OK_200) {
                return OriginResponse.failure(ExchangeResult.INVALID, "status " + status + " as the last answer");
            }
            final OriginResponse response = protocol.read(origin, request, status, headers, body);
            final String fault =
                    response.result() == ExchangeResult.COMPLETE ? protocol.error(origin, request, response) : "";
            return fault.isEmpty() ? response : OriginResponse.failure(ExchangeResult.INVALID, fault);
        }

        private void finish(final OriginResponse response, final boolean reuse) {
            if (finished) {
                return;
            }
            finished = true;
            if (connection != null) {
                if (reuse
                        && connection.isReusable()
                        && !"close".equalsIgnoreCase(response.headers().get("connection"))) {
                    idleConnections.put(
                            connectionKey, connection, response.headers().get("keep-alive"), loop.now());
                } else {
                    connection.close();
                }
            }
            callback.accept(response);
        }

        @Override
        public void abort() {
            if (!finished) {
                finished = true;
                if (connection != null) {
                    connection.close();
                }
            }
        }
    }
}
