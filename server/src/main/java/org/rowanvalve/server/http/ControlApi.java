package org.rowanvalve.server.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.rowanvalve.common.message.StatusRequest;
import org.rowanvalve.common.message.StatusResponse;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.Configuration;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.data.node.StatusReport;
import org.rowanvalve.server.thread.CoreEventLoop;

/** The HTTP interface of any node for operators, origins and the platform. */
public final class ControlApi extends Handler.Abstract {
    private static final int BODY_LIMIT = 1 << 20;
    private final CoreEventLoop loop;
    private final Node node;
    private final Transport transport;

    public ControlApi(final CoreEventLoop loop, final Node node, final Transport transport) {
        this.loop = loop;
        this.node = node;
        this.transport = transport;
    }

    private record Call(
            String method, List<String> path, byte[] body, long expectedVersion, String operationId, Fields query) {
        String pathPart(final int i) {
            return i < path.size() ? path.get(i) : "";
        }
    }

    @Override
    public boolean handle(final Request httpRequest, final Response httpResponse, final Callback callback) {
        RequestBody.read(httpRequest, BODY_LIMIT).whenComplete((body, failure) -> {
            if (failure != null) {
                respond(
                        httpResponse,
                        callback,
                        new ApiResponse(413, Map.of("fate", "refused", "reason", "body over the limit or cut short")));
                return;
            }
            final Call call;
            try {
                call = call(httpRequest, body);
            } catch (final NumberFormatException e) {
                respond(
                        httpResponse,
                        callback,
                        new ApiResponse(400, Map.of("fate", "refused", "reason", "If-Match must be a version number")));
                return;
            }
            if (!loop.offer(() -> route(call, response -> respond(httpResponse, callback, response)))) {
                respond(
                        httpResponse,
                        callback,
                        new ApiResponse(503, Map.of("fate", "refused", "reason", "ring full", "retryAfterMs", 1000)));
            }
        });
        return true;
    }

    private static Call call(final Request httpRequest, final byte[] body) {
        final String path = Request.getPathInContext(httpRequest);
        final List<String> parts = List.of(path.substring(1).split("/"));
        final String match = Optional.ofNullable(httpRequest.getHeaders().get(HttpHeader.IF_MATCH))
                .orElse("0")
                .replace("\"", "");
        return new Call(
                httpRequest.getMethod(),
                parts,
                body,
                Long.parseLong(match),
                httpRequest.getHeaders().get("Rv-Write-Id"),
                Request.extractQueryParameters(httpRequest));
    }

    private static void respond(final Response httpResponse, final Callback callback, final ApiResponse response) {
        httpResponse.setStatus(response.status());
        httpResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (response.body().get("retryAfterMs") instanceof Number node) {
            httpResponse.getHeaders().put(HttpHeader.RETRY_AFTER, String.valueOf((node.longValue() + 999) / 1000));
        }
        if (response.body().get("version") instanceof Number node) {
            httpResponse.getHeaders().put(HttpHeader.ETAG, "\"" + node + "\"");
        }
        httpResponse.write(
                true, ByteBuffer.wrap((Json.write(response.body()) + "\n").getBytes(StandardCharsets.UTF_8)), callback);
    }

    private static ApiResponse notFound() {
        return new ApiResponse(404, Map.of("fate", "refused", "reason", "nothing is here"));
    }

    private void route(final Call call, final Consumer<ApiResponse> callback) {
        if (!call.pathPart(0).equals("v1")) {
            callback.accept(notFound());
            return;
        }
        switch (call.pathPart(1)) {
            case "live" -> callback.accept(new ApiResponse(200, Map.of("live", true)));
            case "ready" -> callback.accept(readiness());
            case "state" -> nodeState(call, callback);
            case "journal" ->
                callback.accept(new ApiResponse(
                        200,
                        Map.of(
                                "events",
                                node.journal().recent().stream()
                                        .map(entry -> Map.of(
                                                "seq",
                                                entry.sequence(),
                                                "atMs",
                                                entry.atMs(),
                                                "line",
                                                entry.event().format()))
                                        .toList())));
            case "config" -> configuration(call, callback);
            case "elector" -> vouchForAcceptor(call, callback);
            case "origins" -> originAnnouncements(call, callback);
            default -> itemRequests(call, callback);
        }
    }

    private ApiResponse readiness() {
        final int grade = node.readinessScore();
        return new ApiResponse(
                grade > 0 ? 200 : 503,
                Map.of("grade", grade, "condition", node.status().code()));
    }

    private void nodeState(final Call call, final Consumer<ApiResponse> callback) {
        if (call.pathPart(2).isEmpty()
                || call.pathPart(2).equals(node.settings().self().id().text())) {
            callback.accept(new ApiResponse(200, new StatusReport(node).toMap()));
            return;
        }
        if (!call.pathPart(2).matches("[a-z0-9][a-z0-9-]{0,40}")
                || node.membership().get(NodeId.of(call.pathPart(2))) == null) {
            callback.accept(new ApiResponse(404, Map.of("reason", "no node is known as " + call.pathPart(2))));
            return;
        }
        transport.request(
                NodeId.of(call.pathPart(2)),
                new StatusRequest("all"),
                1500,
                reply -> callback.accept(reply.as(StatusResponse.class)
                        .map(response -> new ApiResponse(
                                200, ControlApi.<String, Object>cast(Json.read(response.json(), Map.class))))
                        .orElse(new ApiResponse(
                                504, Map.of("reason", "node " + call.pathPart(2) + " does not answer")))));
    }

    @SuppressWarnings("unchecked")
    private static <K, V> Map<K, V> cast(final Object value) {
        return (Map<K, V>) value;
    }

    private void configuration(final Call call, final Consumer<ApiResponse> callback) {
        switch (call.method()) {
            case "PUT" -> node.configurationService().applyConfiguration(call.body(), callback);
            case "GET" -> node.configurationService().readConfirmed(this::wholeConfiguration, callback);
            default -> callback.accept(methodNotAllowed());
        }
    }

    private ApiResponse wholeConfiguration() {
        final Configuration nodes = Configuration.of(node.items());
        return new ApiResponse(
                200, Map.of("services", nodes.services(), "routes", nodes.routes(), "purges", nodes.purges()));
    }

    private static ApiResponse methodNotAllowed() {
        return new ApiResponse(405, Map.of("fate", "refused", "reason", "this method is not taken here"));
    }

    private void vouchForAcceptor(final Call call, final Consumer<ApiResponse> callback) {
        final String from = Optional.ofNullable(call.query().getValue("from")).orElse("");
        if (!call.pathPart(2).equals("vouch")
                || !call.method().equals("POST")
                || !node.settings().mayVote()
                || !from.matches("[a-z0-9][a-z0-9-]{0,40}")) {
            callback.accept(notFound());
            return;
        }
        node.acceptor()
                .vouch(
                        NodeId.of(from),
                        ok -> callback.accept(
                                ok
                                        ? new ApiResponse(200, Map.of("fate", "done"))
                                        : new ApiResponse(
                                                409,
                                                Map.of(
                                                        "fate",
                                                        "refused",
                                                        "reason",
                                                        from + " did not answer with its memory"))));
    }

    private void originAnnouncements(final Call call, final Consumer<ApiResponse> callback) {
        if (call.method().equals("GET")) {
            if (call.pathPart(2).isEmpty()) {
                node.configurationService()
                        .readConfirmed(() -> node.configurationService().listItems(ItemKind.ORIGIN), callback);
            } else {
                withVersionsInForce(new ItemId(ItemKind.ORIGIN, call.pathPart(2)), callback);
            }
        } else if (call.method().equals("PUT") && call.path().size() == 3) {
            node.configurationService().announceOrigin(call.pathPart(2), call.body(), callback);
        } else {
            callback.accept(methodNotAllowed());
        }
    }

    private void itemRequests(final Call call, final Consumer<ApiResponse> callback) {
        final ItemKind kind = ItemKind.of(call.pathPart(1))
                .filter(ItemKind::isOperatorDefined)
                .orElse(null);
        if (kind == null || call.path().size() > 3) {
            callback.accept(notFound());
        } else if (call.pathPart(2).isEmpty()) {
            listItems(call, kind, callback);
        } else {
            final ItemId id = new ItemId(kind, call.pathPart(2));
            switch (call.method()) {
                case "GET" -> withVersionsInForce(id, callback);
                case "PUT" ->
                    node.configurationService()
                            .putItem(id, call.body(), call.expectedVersion(), call.operationId(), callback);
                case "DELETE" ->
                    node.configurationService().deleteItem(id, call.expectedVersion(), call.operationId(), callback);
                default -> callback.accept(methodNotAllowed());
            }
        }
    }

    private void listItems(final Call call, final ItemKind kind, final Consumer<ApiResponse> callback) {
        if (call.method().equals("GET")) {
            node.configurationService()
                    .readConfirmed(() -> node.configurationService().listItems(kind), callback);
        } else {
            callback.accept(methodNotAllowed());
        }
    }

    /** The declared version, and the version in force on every node that answers. */
    private void withVersionsInForce(final ItemId id, final Consumer<ApiResponse> callback) {
        node.configurationService()
                .readConfirmed(() -> node.configurationService().getItem(id), stated -> {
                    if (stated.status() == 503) {
                        callback.accept(stated);
                    } else {
                        withVersionsInForce(id, stated, callback);
                    }
                });
    }

    private void withVersionsInForce(final ItemId id, final ApiResponse stated, final Consumer<ApiResponse> callback) {
        final List<NodeId> nodes =
                node.membership().liveMembers().stream().map(Member::id).toList();
        final Map<String, Object> versionsByNode = new TreeMap<>();
        final int[] remaining = {nodes.size()};
        for (final NodeId n : nodes) {
            transport.request(n, new StatusRequest("item " + id.text()), 600, reply -> {
                versionsByNode.put(
                        n.text(),
                        reply.as(StatusResponse.class)
                                .<Object>map(response -> Json.read(response.json(), Map.class))
                                .orElse(Map.of("silent", true)));
                if (--remaining[0] == 0) {
                    final Map<String, Object> body = new LinkedHashMap<>(stated.body());
                    final long statedVersion = ((Number) stated.body().get("version")).longValue();
                    final boolean inForceEverywhere = versionsByNode.values().stream()
                            .allMatch(value -> ((Map<?, ?>) value).get("version") instanceof Number version
                                    && version.longValue() >= statedVersion);
                    body.put("inForce", versionsByNode);
                    if (stated.status() == 200) {
                        body.put(
                                "state",
                                body.containsKey("findings") ? "unfit" : inForceEverywhere ? "in force" : "spreading");
                    }
                    callback.accept(new ApiResponse(stated.status(), body));
                }
            });
        }
        if (nodes.isEmpty()) {
            callback.accept(stated);
        }
    }
}
