package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;

/**
 * Operators, and changes at the back ends: objects change, some are purged, routes are declared again, two operators
 * race.
 */
public final class ItemOperator implements OperatorWorkload {
    private final SimCluster cluster;
    private final Map<String, Long> known = new TreeMap<>();
    private boolean on;
    private long serial;
    private boolean shown;

    ItemOperator(final SimCluster cluster) {
        this.cluster = cluster;
    }

    @Override
    public void open() {
        apply(cluster.place().config());
    }

    @Override
    public void start() {
        on = true;
        change();
        restate();
        blink();
        probe();
    }

    /** No more changes from here on. */
    @Override
    public void stop() {
        on = false;
    }

    void apply(final String text) {
        final long t = cluster.world().now();
        final SimNode node = cluster.anyNode();
        node.execute(() -> node.node()
                .configurationService()
                .applyConfiguration(
                        text.getBytes(StandardCharsets.UTF_8),
                        response -> cluster.place()
                                .configRows(t, cluster.world().now(), response.status())
                                .forEach(cluster.log()::add)));
    }

    /** An object changes at its back end; in a third of the cases an operator purges it a little later. */
    private void change() {
        if (!on) {
            return;
        }
        final List<Deployment.TrafficClass> ways = cluster.place().purgeableRoutes();
        final Deployment.TrafficClass traffic = ways.get(cluster.world().dice().nextInt(ways.size()));
        final double roll = cluster.world().dice().nextDouble();
        final String path = traffic.path(roll, 3);
        final String service = cluster.place().serviceOf(traffic);
        final long rev = cluster.stock(service).change(path);
        cluster.log().add(RunLog.row("log", "change", "t", cluster.world().now(), "path", path, "rev", rev));
        if (cluster.world().dice().nextInt(3) == 0) {
            final boolean wide = cluster.world().dice().nextInt(4) == 0;
            cluster.world().in(50, () -> {
                if (wide) {
                    sweep(traffic.route(), path.substring(0, traffic.prefix().length() + 1));
                } else {
                    purge(traffic.route(), path);
                }
            });
        }
        cluster.world().in(100 + cluster.world().dice().nextInt(200), this::change);
    }

    @Override
    public void purge() {
        final List<Deployment.TrafficClass> ways = cluster.place().purgeableRoutes();
        final Deployment.TrafficClass traffic = ways.get(cluster.world().dice().nextInt(ways.size()));
        purge(traffic.route(), traffic.prefix() + cluster.world().dice().nextInt(traffic.objects()));
    }

    @Override
    public void state(final IntConsumer then) {
        final Deployment.Backend backend = cluster.place()
                .kin()
                .get(cluster.world().dice().nextInt(cluster.place().kin().size()));
        final Map<String, Object> body = backend.body();
        body.put("cutoffMs", 1500 + cluster.world().dice().nextInt(1000));
        put(
                "put",
                new ItemId(ItemKind.SERVICE, backend.service()),
                Json.write(body),
                Map.of("service", backend.service(), "rate", backend.rate()),
                r -> then.accept(r.status()));
    }

    @Override
    public void invalid(final IntConsumer then) {
        final SimNode node = cluster.anyNode();
        if (node == null) {
            then.accept(0);
            return;
        }
        final byte[] bad =
                "{\"routes\":{\"x\":{\"prefix\":\"/x/\",\"service\":\"nobody\",\"mode\":\"cached\",\"lifetimeMs\":-1}}}"
                        .getBytes(StandardCharsets.UTF_8);
        final long t = cluster.world().now();
        node.execute(() -> node.node().configurationService().applyConfiguration(bad, response -> {
            cluster.log()
                    .add(RunLog.row(
                            "log",
                            "op",
                            "t",
                            t,
                            "end",
                            cluster.world().now(),
                            "what",
                            "invalid",
                            "status",
                            response.status()));
            then.accept(response.status());
        }));
    }

    public void purge(final String route, final String path) {
        final String name = route + "-" + Long.toHexString(org.rowanvalve.common.model.Hash.hash64(path));
        put(
                "purge",
                new ItemId(ItemKind.PURGE, name),
                Json.write(Map.of("route", route, "path", path)),
                Map.of("path", path),
                response -> {});
    }

    private void sweep(final String route, final String prefix) {
        final String name = route + "-all-" + Long.toHexString(org.rowanvalve.common.model.Hash.hash64(prefix));
        put(
                "purge",
                new ItemId(ItemKind.PURGE, name),
                Json.write(Map.of("route", route, "prefix", prefix)),
                Map.of("prefix", prefix),
                response -> {});
    }

    /** A route that is stated and deleted in turn, so that callers can see whether it is in force. */
    private void blink() {
        if (!on) {
            return;
        }
        shown = !shown;
        final ItemId id = new ItemId(ItemKind.ROUTE, "blink");
        final String service = cluster.place().kin().get(0).service();
        final String body = shown
                ? Json.write(Map.of("prefix", "/blink/", "service", service, "mode", "cached", "lifetimeMs", 500))
                : null;
        put("blink", id, body, Map.of("shown", shown), response -> {});
        cluster.world().in(7000, this::blink);
    }

    private void probe() {
        if (!on) {
            return;
        }
        cluster.nodes().values().stream()
                .filter(node -> node.role() == org.rowanvalve.common.model.Role.EDGE && node.alive())
                .forEach(node -> {
                    final long t = cluster.world().now();
                    node.execute(() -> node.node()
                            .edge()
                            .handle(
                                    new org.rowanvalve.data.request.ClientRequest(
                                            "GET", "/blink/1", null, new byte[0], ""),
                                    response -> cluster.log()
                                            .add(RunLog.row(
                                                    "log",
                                                    "probe",
                                                    "t",
                                                    t,
                                                    "end",
                                                    cluster.world().now(),
                                                    "node",
                                                    node.id().text(),
                                                    "status",
                                                    response.status()))));
                });
        cluster.world().in(500, this::probe);
    }

    public void put(
            final String what,
            final ItemId id,
            final String body,
            final Map<String, Object> more,
            final Consumer<ApiResponse> then) {
        final SimNode node = cluster.anyNode();
        if (node == null) {
            return;
        }
        final long t = cluster.world().now();
        final long expect = known.getOrDefault(
                id.text(), id.kind() == ItemKind.PURGE || id.name().equals("blink") ? 0L : 1L);
        final String tag = "op-" + ++serial;
        final long life = node.life();
        cluster.world().in(1, () -> {
            if (node.alive() && node.life() == life) {
                final Consumer<ApiResponse> back = response -> {
                    if (response.body().get("version") instanceof Number n) {
                        known.merge(id.text(), n.longValue(), Math::max);
                    }
                    final Map<String, Object> row = RunLog.row(
                            "log",
                            "op",
                            "t",
                            t,
                            "end",
                            cluster.world().now(),
                            "what",
                            what,
                            "item",
                            id.text(),
                            "expect",
                            expect,
                            "tag",
                            tag,
                            "at",
                            node.id().text(),
                            "status",
                            response.status(),
                            "version",
                            response.body().get("version"));
                    row.putAll(more);
                    cluster.log().add(row);
                    then.accept(response);
                };
                node.execute(() -> {
                    if (body == null) {
                        node.node().configurationService().deleteItem(id, expect, tag, back);
                    } else {
                        node.node()
                                .configurationService()
                                .putItem(id, body.getBytes(StandardCharsets.UTF_8), expect, tag, back);
                    }
                });
            }
        });
    }

    /** Every few seconds two operators restate one route at once, through different nodes. */
    private void restate() {
        if (!on) {
            return;
        }
        final List<Deployment.TrafficClass> ways = cluster.place().cachedRoutes();
        final Deployment.TrafficClass traffic = ways.get(cluster.world().dice().nextInt(ways.size()));
        final String body = Json.write(cluster.place().routeBody(traffic));
        for (int i = 0; i < 2; i++) {
            put("put", new ItemId(ItemKind.ROUTE, traffic.route()), body, Map.of("race", serial / 2), response -> {});
        }
        cluster.world().in(2500 + cluster.world().dice().nextInt(2000), this::restate);
    }
}
