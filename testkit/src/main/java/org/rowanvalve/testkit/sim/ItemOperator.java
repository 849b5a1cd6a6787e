package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Json;
import org.rowanvalve.testkit.Log;
import org.rowanvalve.testkit.Place;

/** Operators, and the back ends' own changes: objects change, some are purged, routes are restated, two race. */
public final class ItemOperator implements Operators {
    private final SimCluster town;
    private final Map<String, Long> known = new TreeMap<>();
    private boolean on;
    private long serial;
    private boolean shown;

    ItemOperator(final SimCluster town) {
        this.town = town;
    }

    @Override
    public void open() {
        apply(town.place().config());
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
        final long t = town.world().now();
        final SimNode at = town.anyNode();
        at.post(() -> at.node().clerk().apply(text.getBytes(StandardCharsets.UTF_8), s -> {
            for (final Place.Kin k : town.place().kin()) {
                town.log()
                        .add(Log.row(
                                "log",
                                "op",
                                "t",
                                t,
                                "end",
                                town.world().now(),
                                "what",
                                "put",
                                "item",
                                "SERVICE/" + k.service(),
                                "service",
                                k.service(),
                                "kind",
                                k.kind(),
                                "rate",
                                k.rate(),
                                "status",
                                s.status(),
                                "version",
                                1));
                k.ways()
                        .forEach(w -> town.log()
                                .add(Log.row(
                                        "log",
                                        "op",
                                        "t",
                                        t,
                                        "end",
                                        town.world().now(),
                                        "what",
                                        "put",
                                        "item",
                                        "ROUTE/" + w.route(),
                                        "status",
                                        s.status(),
                                        "version",
                                        1)));
            }
        }));
    }

    /** An object changes at its back end; in a third of the cases an operator purges it a little later. */
    private void change() {
        if (!on) {
            return;
        }
        final List<Place.EdgeRouting> ways = town.place().ways().stream()
                .filter(w -> w.mode().equals("cached") && w.purgeable())
                .toList();
        final Place.EdgeRouting w = ways.get(town.world().dice().nextInt(ways.size()));
        final double roll = town.world().dice().nextDouble();
        final String path = w.prefix() + (int) (w.objects() * roll * roll * roll);
        final String service = town.place().kin().stream()
                .filter(k -> k.ways().contains(w))
                .findFirst()
                .orElseThrow()
                .service();
        final long rev = town.stock(service).change(path);
        town.log().add(Log.row("log", "change", "t", town.world().now(), "path", path, "rev", rev));
        if (town.world().dice().nextInt(3) == 0) {
            final boolean wide = town.world().dice().nextInt(4) == 0;
            town.world().in(50, () -> {
                if (wide) {
                    sweep(w.route(), path.substring(0, w.prefix().length() + 1));
                } else {
                    purge(w.route(), path);
                }
            });
        }
        town.world().in(100 + town.world().dice().nextInt(200), this::change);
    }

    @Override
    public void purge() {
        final List<Place.EdgeRouting> ways = town.place().ways().stream()
                .filter(w -> w.mode().equals("cached") && w.purgeable())
                .toList();
        final Place.EdgeRouting w = ways.get(town.world().dice().nextInt(ways.size()));
        purge(w.route(), w.prefix() + town.world().dice().nextInt(w.objects()));
    }

    @Override
    public void state(final IntConsumer then) {
        final Place.Kin k = town.place()
                .kin()
                .get(town.world().dice().nextInt(town.place().kin().size()));
        final Map<String, Object> body =
                k.rate() > 0 ? Log.row("kind", k.kind(), "rate", k.rate()) : Log.row("kind", k.kind());
        body.put("cutoffMs", 1500 + town.world().dice().nextInt(1000));
        put(
                "put",
                new ItemId(Kind.SERVICE, k.service()),
                Json.text(body),
                Map.of("service", k.service(), "rate", k.rate()),
                r -> then.accept(r.status()));
    }

    @Override
    public void invalid(final IntConsumer then) {
        final SimNode at = town.anyNode();
        if (at == null) {
            then.accept(0);
            return;
        }
        final byte[] bad =
                "{\"routes\":{\"x\":{\"prefix\":\"/x/\",\"service\":\"nobody\",\"mode\":\"cached\",\"lifetimeMs\":-1}}}"
                        .getBytes(StandardCharsets.UTF_8);
        final long t = town.world().now();
        at.post(() -> at.node().clerk().apply(bad, s -> {
            town.log()
                    .add(Log.row(
                            "log", "op", "t", t, "end", town.world().now(), "what", "invalid", "status", s.status()));
            then.accept(s.status());
        }));
    }

    public void purge(final String route, final String path) {
        final String name = route + "-" + Long.toHexString(org.rowanvalve.common.Hash.mix(path));
        put(
                "purge",
                new ItemId(Kind.PURGE, name),
                Json.text(Map.of("route", route, "path", path)),
                Map.of("path", path),
                s -> {});
    }

    private void sweep(final String route, final String prefix) {
        final String name = route + "-all-" + Long.toHexString(org.rowanvalve.common.Hash.mix(prefix));
        put(
                "purge",
                new ItemId(Kind.PURGE, name),
                Json.text(Map.of("route", route, "prefix", prefix)),
                Map.of("prefix", prefix),
                s -> {});
    }

    /** A route that is stated and deleted in turn, so that callers can see whether it is in force. */
    private void blink() {
        if (!on) {
            return;
        }
        shown = !shown;
        final ItemId id = new ItemId(Kind.ROUTE, "blink");
        final String service = town.place().kin().get(0).service();
        final String body = shown
                ? Json.text(Map.of("prefix", "/blink/", "service", service, "mode", "cached", "lifetimeMs", 500))
                : null;
        put("blink", id, body, Map.of("shown", shown), s -> {});
        town.world().in(7000, this::blink);
    }

    private void probe() {
        if (!on) {
            return;
        }
        town.nodes().values().stream()
                .filter(n -> n.role() == org.rowanvalve.common.Role.EDGE && n.alive())
                .forEach(n -> {
                    final long t = town.world().now();
                    n.post(() -> n.node()
                            .edge()
                            .take(
                                    new org.rowanvalve.data.ClientRequest("GET", "/blink/1", null, new byte[0], ""),
                                    a -> town.log()
                                            .add(Log.row(
                                                    "log",
                                                    "probe",
                                                    "t",
                                                    t,
                                                    "end",
                                                    town.world().now(),
                                                    "node",
                                                    n.id().text(),
                                                    "status",
                                                    a.status()))));
                });
        town.world().in(500, this::probe);
    }

    public void put(
            final String what,
            final ItemId id,
            final String body,
            final Map<String, Object> more,
            final Consumer<ApiResult> then) {
        final SimNode at = town.anyNode();
        if (at == null) {
            return;
        }
        final long t = town.world().now();
        final long expect = known.getOrDefault(
                id.text(), id.kind() == Kind.PURGE || id.name().equals("blink") ? 0L : 1L);
        final String tag = "op-" + ++serial;
        final long life = at.life();
        town.world().in(1, () -> {
            if (at.alive() && at.life() == life) {
                final Consumer<ApiResult> back = s -> {
                    if (s.body().get("version") instanceof Number n) {
                        known.merge(id.text(), n.longValue(), Math::max);
                    }
                    final Map<String, Object> row = Log.row(
                            "log",
                            "op",
                            "t",
                            t,
                            "end",
                            town.world().now(),
                            "what",
                            what,
                            "item",
                            id.text(),
                            "expect",
                            expect,
                            "tag",
                            tag,
                            "at",
                            at.id().text(),
                            "status",
                            s.status(),
                            "version",
                            s.body().get("version"));
                    row.putAll(more);
                    town.log().add(row);
                    then.accept(s);
                };
                at.post(() -> {
                    if (body == null) {
                        at.node().clerk().delete(id, expect, tag, back);
                    } else {
                        at.node().clerk().put(id, body.getBytes(StandardCharsets.UTF_8), expect, tag, back);
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
        final List<Place.EdgeRouting> ways = town.place().ways().stream()
                .filter(w -> w.mode().equals("cached"))
                .toList();
        final Place.EdgeRouting w = ways.get(town.world().dice().nextInt(ways.size()));
        final String service = town.place().kin().stream()
                .filter(k -> k.ways().contains(w))
                .findFirst()
                .orElseThrow()
                .service();
        final String body = Json.text(Log.row(
                "prefix",
                w.prefix(),
                "service",
                service,
                "mode",
                w.mode(),
                "lifetimeMs",
                w.lifetimeMs(),
                "purgeable",
                w.purgeable()));
        for (int i = 0; i < 2; i++) {
            put("put", new ItemId(Kind.ROUTE, w.route()), body, Map.of("race", serial / 2), s -> {});
        }
        town.world().in(2500 + town.world().dice().nextInt(2000), this::restate);
    }
}
