package org.rowanvalve.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Config;
import org.rowanvalve.control.Json;
import org.rowanvalve.data.Node;
import org.rowanvalve.data.StatusReport;

/** What operators, origins and the platform ask of any node. */
public final class Api extends Handler.Abstract {
    private static final int LIMIT = 1 << 20;
    private final CoreLoop loop;
    private final Node node;
    private final Net net;

    public Api(final CoreLoop loop, final Node node, final Net net) {
        this.loop = loop;
        this.node = node;
        this.net = net;
    }

    private record Call(String method, List<String> path, byte[] body, long expect, String tag, Fields query) {
        String at(final int i) {
            return i < path.size() ? path.get(i) : "";
        }
    }

    @Override
    public boolean handle(final Request req, final Response res, final Callback done) {
        Content.Source.asByteArrayAsync(req, LIMIT).whenComplete((body, trouble) -> {
            if (trouble != null) {
                send(
                        res,
                        done,
                        new ApiResult(413, Map.of("fate", "refused", "reason", "body over the limit or cut short")));
                return;
            }
            final Call call;
            try {
                call = call(req, body);
            } catch (final NumberFormatException e) {
                send(
                        res,
                        done,
                        new ApiResult(400, Map.of("fate", "refused", "reason", "If-Match must be a version number")));
                return;
            }
            if (!loop.offer(() -> serve(call, s -> send(res, done, s)))) {
                send(
                        res,
                        done,
                        new ApiResult(503, Map.of("fate", "refused", "reason", "ring full", "retryAfterMs", 1000)));
            }
        });
        return true;
    }

    private static Call call(final Request req, final byte[] body) {
        final String path = Request.getPathInContext(req);
        final List<String> parts = List.of(path.substring(1).split("/"));
        final String match = Optional.ofNullable(req.getHeaders().get(HttpHeader.IF_MATCH))
                .orElse("0")
                .replace("\"", "");
        return new Call(
                req.getMethod(),
                parts,
                body,
                Long.parseLong(match),
                req.getHeaders().get("Rv-Write-Id"),
                Request.extractQueryParameters(req));
    }

    private static void send(final Response res, final Callback done, final ApiResult s) {
        res.setStatus(s.status());
        res.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (s.body().get("retryAfterMs") instanceof Number n) {
            res.getHeaders().put(HttpHeader.RETRY_AFTER, String.valueOf((n.longValue() + 999) / 1000));
        }
        if (s.body().get("version") instanceof Number n) {
            res.getHeaders().put(HttpHeader.ETAG, "\"" + n + "\"");
        }
        res.write(true, ByteBuffer.wrap((Json.text(s.body()) + "\n").getBytes(StandardCharsets.UTF_8)), done);
    }

    private static ApiResult none() {
        return new ApiResult(404, Map.of("fate", "refused", "reason", "nothing is here"));
    }

    private void serve(final Call c, final Consumer<ApiResult> back) {
        if (!c.at(0).equals("v1")) {
            back.accept(none());
            return;
        }
        switch (c.at(1)) {
            case "live" -> back.accept(new ApiResult(200, Map.of("live", true)));
            case "ready" -> back.accept(ready());
            case "state" -> state(c, back);
            case "journal" ->
                back.accept(new ApiResult(
                        200,
                        Map.of(
                                "events",
                                node.journal().tail().stream()
                                        .map(e -> Map.of(
                                                "seq",
                                                e.seq(),
                                                "atMs",
                                                e.at(),
                                                "line",
                                                e.event().line()))
                                        .toList())));
            case "config" -> config(c, back);
            case "elector" -> vouch(c, back);
            case "origins" -> origins(c, back);
            default -> items(c, back);
        }
    }

    private ApiResult ready() {
        final int grade = node.grade();
        return new ApiResult(
                grade > 0 ? 200 : 503,
                Map.of("grade", grade, "condition", node.condition().code()));
    }

    private void state(final Call c, final Consumer<ApiResult> back) {
        if (c.at(2).isEmpty() || c.at(2).equals(node.setup().self().id().text())) {
            back.accept(new ApiResult(200, new StatusReport(node).all()));
            return;
        }
        if (!c.at(2).matches("[a-z0-9][a-z0-9-]{0,40}") || node.roster().get(NodeId.of(c.at(2))) == null) {
            back.accept(new ApiResult(404, Map.of("reason", "no node is known as " + c.at(2))));
            return;
        }
        net.ask(
                NodeId.of(c.at(2)),
                new Msg.Report("all"),
                1500,
                r -> back.accept(r.as(Msg.Reported.class)
                        .map(m -> new ApiResult(200, Api.<String, Object>cast(Json.read(m.json(), Map.class))))
                        .orElse(new ApiResult(504, Map.of("reason", "node " + c.at(2) + " does not answer")))));
    }

    @SuppressWarnings("unchecked")
    private static <K, V> Map<K, V> cast(final Object o) {
        return (Map<K, V>) o;
    }

    private void config(final Call c, final Consumer<ApiResult> back) {
        switch (c.method()) {
            case "PUT" -> node.clerk().apply(c.body(), back);
            case "GET" -> node.clerk().inContact(this::all, back);
            default -> back.accept(wrong());
        }
    }

    private ApiResult all() {
        final Config all = Config.of(node.held());
        return new ApiResult(200, Map.of("services", all.services(), "routes", all.routes(), "purges", all.purges()));
    }

    private static ApiResult wrong() {
        return new ApiResult(405, Map.of("fate", "refused", "reason", "this method is not taken here"));
    }

    private void vouch(final Call c, final Consumer<ApiResult> back) {
        final String from = Optional.ofNullable(c.query().getValue("from")).orElse("");
        if (!c.at(2).equals("vouch")
                || !c.method().equals("POST")
                || node.elector() == null
                || !from.matches("[a-z0-9][a-z0-9-]{0,40}")) {
            back.accept(none());
            return;
        }
        node.elector()
                .vouch(
                        NodeId.of(from),
                        ok -> back.accept(
                                ok
                                        ? new ApiResult(200, Map.of("fate", "done"))
                                        : new ApiResult(
                                                409,
                                                Map.of(
                                                        "fate",
                                                        "refused",
                                                        "reason",
                                                        from + " did not answer with its memory"))));
    }

    private void origins(final Call c, final Consumer<ApiResult> back) {
        if (c.method().equals("GET")) {
            if (c.at(2).isEmpty()) {
                node.clerk().inContact(() -> node.clerk().list(Kind.ORIGIN), back);
            } else {
                force(new ItemId(Kind.ORIGIN, c.at(2)), back);
            }
        } else if (c.method().equals("PUT") && c.path().size() == 3) {
            node.clerk().announce(c.at(2), c.body(), back);
        } else {
            back.accept(wrong());
        }
    }

    private void items(final Call c, final Consumer<ApiResult> back) {
        final Kind kind = Kind.of(c.at(1)).filter(Kind::stated).orElse(null);
        if (kind == null || c.path().size() > 3) {
            back.accept(none());
        } else if (c.at(2).isEmpty()) {
            list(c, kind, back);
        } else {
            final ItemId id = new ItemId(kind, c.at(2));
            switch (c.method()) {
                case "GET" -> force(id, back);
                case "PUT" -> node.clerk().put(id, c.body(), c.expect(), c.tag(), back);
                case "DELETE" -> node.clerk().delete(id, c.expect(), c.tag(), back);
                default -> back.accept(wrong());
            }
        }
    }

    private void list(final Call c, final Kind kind, final Consumer<ApiResult> back) {
        if (c.method().equals("GET")) {
            node.clerk().inContact(() -> node.clerk().list(kind), back);
        } else {
            back.accept(wrong());
        }
    }

    /** The stated version, and the version in force on every node that answers. */
    private void force(final ItemId id, final Consumer<ApiResult> back) {
        node.clerk().inContact(() -> node.clerk().get(id), base -> {
            if (base.status() == 503) {
                back.accept(base);
            } else {
                force(id, base, back);
            }
        });
    }

    private void force(final ItemId id, final ApiResult base, final Consumer<ApiResult> back) {
        final List<NodeId> all = node.roster().live().stream().map(Member::id).toList();
        final Map<String, Object> seen = new TreeMap<>();
        final int[] left = {all.size()};
        for (final NodeId n : all) {
            net.ask(n, new Msg.Report("item " + id.text()), 600, r -> {
                seen.put(
                        n.text(),
                        r.as(Msg.Reported.class)
                                .<Object>map(m -> Json.read(m.json(), Map.class))
                                .orElse(Map.of("silent", true)));
                if (--left[0] == 0) {
                    final Map<String, Object> body = new LinkedHashMap<>(base.body());
                    final long ver = ((Number) base.body().get("version")).longValue();
                    final boolean whole = seen.values().stream()
                            .allMatch(o -> ((Map<?, ?>) o).get("version") instanceof Number v && v.longValue() >= ver);
                    body.put("inForce", seen);
                    if (base.status() == 200) {
                        body.put("state", body.containsKey("findings") ? "unfit" : whole ? "in force" : "spreading");
                    }
                    back.accept(new ApiResult(base.status(), body));
                }
            });
        }
        if (all.isEmpty()) {
            back.accept(base);
        }
    }
}
