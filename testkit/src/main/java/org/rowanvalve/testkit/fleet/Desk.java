package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.control.Json;
import org.rowanvalve.testkit.Log;
import org.rowanvalve.testkit.Place;
import org.rowanvalve.testkit.Stock;

/** Operators of a fleet over HTTP, and the back ends' own changes. */
final class Desk {
    private final Place place;
    private final List<Machine> nodes;
    private final Map<String, Stock> stocks;
    private final Log log;
    private final Random dice;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(800))
            .build();
    private final Map<String, Long> known = new ConcurrentHashMap<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(3, r -> {
        final Thread t = new Thread(r, "desk");
        t.setDaemon(true);
        return t;
    });

    Desk(
            final Place place,
            final List<Machine> nodes,
            final Map<String, Stock> stocks,
            final Log log,
            final long seed) {
        this.place = place;
        this.nodes = nodes;
        this.stocks = stocks;
        this.log = log;
        this.dice = new Random(seed);
    }

    private HttpResponse<String> put(
            final Machine at, final String path, final String body, final long ver, final String tag)
            throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + at.http() + "/v1/" + path))
                        .timeout(Duration.ofSeconds(4))
                        .header("If-Match", "\"" + ver + "\"")
                        .header("Rv-Write-Id", tag)
                        .PUT(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    int apply(final String text) throws IOException, InterruptedException {
        final long t = System.currentTimeMillis();
        final int status = put(nodes.get(0), "config", text, 0, "x").statusCode();
        final long end = System.currentTimeMillis();
        for (final Place.Kin k : place.kin()) {
            log.add(Log.row(
                    "log",
                    "op",
                    "t",
                    t,
                    "end",
                    end,
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
                    status,
                    "version",
                    1));
            k.ways()
                    .forEach(w -> log.add(Log.row(
                            "log",
                            "op",
                            "t",
                            t,
                            "end",
                            end,
                            "what",
                            "put",
                            "item",
                            "ROUTE/" + w.route(),
                            "status",
                            status,
                            "version",
                            1)));
        }
        return status;
    }

    /** Answers the status, or 0 when nothing came. */
    int ask(final String method, final String path, final String body) {
        try {
            final Machine at = any();
            return http.send(
                            HttpRequest.newBuilder(URI.create("http://" + at.http() + "/v1/" + path))
                                    .timeout(Duration.ofSeconds(4))
                                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (final IOException e) {
            return 0;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    void start() {
        clock.scheduleAtFixedRate(this::change, 200, 250, TimeUnit.MILLISECONDS);
        clock.scheduleAtFixedRate(this::restate, 1000, 3500, TimeUnit.MILLISECONDS);
    }

    void stop() {
        clock.shutdownNow();
    }

    private synchronized Machine any() {
        final List<Machine> up = nodes.stream().filter(Machine::alive).toList();
        return up.isEmpty() ? nodes.get(0) : up.get(dice.nextInt(up.size()));
    }

    private synchronized double roll() {
        return dice.nextDouble();
    }

    private Place.EdgeRouting pick() {
        final List<Place.EdgeRouting> ways = place.ways().stream()
                .filter(w -> w.mode().equals("cached") && w.purgeable())
                .toList();
        return ways.get((int) (roll() * ways.size()));
    }

    private void change() {
        final Place.EdgeRouting w = pick();
        final double r = roll();
        final String path = w.prefix() + (int) (w.objects() * r * r * r);
        final String service = place.kin().stream()
                .filter(k -> k.ways().contains(w))
                .findFirst()
                .orElseThrow()
                .service();
        final long rev = stocks.get(service).change(path);
        log.add(Log.row("log", "change", "t", System.currentTimeMillis(), "path", path, "rev", rev));
        if (roll() < 0.33) {
            clock.execute(() -> purge(w, path));
        }
    }

    void purgeAny() {
        final Place.EdgeRouting w = pick();
        purge(w, w.prefix() + (int) (roll() * w.objects()));
    }

    private void purge(final Place.EdgeRouting w, final String path) {
        final String name = w.route() + "-" + Long.toHexString(org.rowanvalve.common.Hash.mix(path));
        state(
                "purge",
                "purges/" + name,
                "PURGE/" + name,
                Json.text(Map.of("route", w.route(), "path", path)),
                Map.of("path", path));
    }

    private int state(
            final String what,
            final String path,
            final String item,
            final String body,
            final Map<String, Object> more) {
        final long t = System.currentTimeMillis();
        final long expect = known.getOrDefault(item, item.startsWith("PURGE") ? 0L : 1L);
        int status = 0;
        Object ver = null;
        try {
            final HttpResponse<String> r = put(any(), path, body, expect, "d-" + t + "-" + (long) (roll() * 1e9));
            status = r.statusCode();
            ver = Json.read(r.body(), Map.class).get("version");
            if (ver instanceof Number n) {
                known.merge(item, n.longValue(), Math::max);
            }
        } catch (final IOException e) {
            status = 0;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        final Map<String, Object> row = Log.row(
                "log",
                "op",
                "t",
                t,
                "end",
                System.currentTimeMillis(),
                "what",
                what,
                "item",
                item,
                "expect",
                expect,
                "status",
                status,
                "version",
                ver);
        row.putAll(more);
        log.add(row);
        return status;
    }

    private void restate() {
        final Place.EdgeRouting w = pick();
        final String service = place.kin().stream()
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
            clock.execute(() -> state("put", "routes/" + w.route(), "ROUTE/" + w.route(), body, Map.of()));
        }
    }

    int restateService() {
        final Place.Kin k = place.kin().get((int) (roll() * place.kin().size()));
        final Map<String, Object> body =
                k.rate() > 0 ? Log.row("kind", k.kind(), "rate", k.rate()) : Log.row("kind", k.kind());
        body.put("cutoffMs", 1500 + (int) (1000 * roll()));
        return state(
                "put",
                "services/" + k.service(),
                "SERVICE/" + k.service(),
                Json.text(body),
                Map.of("service", k.service(), "rate", k.rate()));
    }

    Map<String, Object> items(final Machine at) throws IOException, InterruptedException {
        final String text = http.send(
                        HttpRequest.newBuilder(URI.create("http://" + at.http() + "/v1/state"))
                                .timeout(Duration.ofSeconds(4))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        final Map<?, ?> all = Json.read(text, Map.class);
        final Map<String, Object> items = new java.util.TreeMap<>();
        ((Map<?, ?>) all.get("items")).forEach((k, v) -> {
            final String n = String.valueOf(k);
            items.put(
                    n.substring(0, n.indexOf('/')).toUpperCase(java.util.Locale.ROOT) + n.substring(n.indexOf('/')), v);
        });
        return Log.row(
                "log",
                "end",
                "t",
                System.currentTimeMillis(),
                "node",
                at.name(),
                "items",
                items,
                "fresh",
                ((Number) all.get("frameAgeMs")).longValue() >= 0);
    }
}
