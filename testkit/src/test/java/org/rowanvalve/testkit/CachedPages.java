package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** A simulated network whose only traffic are reads of some pages under routes that a test changes. */
final class CachedPages {
    static final String HOST = "shop.example";
    static final String PREFIX = "/pages/long/";
    static final String SHORTER_PREFIX = "/pages/";
    /** More purges than the leader collects at the least. */
    static final int PAGES = 24;

    static final List<String> EDGES = List.of("ed1", "ed2", "ed3");
    private static final long READ_INTERVAL_MS = 120;
    private static final long ANSWER_MS = 1500;

    private final SimCluster cluster;
    private long version = 10;
    private long requests;

    /** One answered read: the revision of the page that it got, and whether the edge answered from its own copy. */
    record Read(String edge, String path, int status, long revision, boolean hit) {
        private String place() {
            return edge + path;
        }
    }

    CachedPages(final long seed) {
        cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        cluster.crowd().factor(1e-6);
        cluster.run(3000);
    }

    SimCluster cluster() {
        return cluster;
    }

    Map<String, Object> route(final String prefix, final String mode, final long ttlMs) {
        final Map<String, Object> route = ShieldNetworks.route(cluster.place(), prefix, ++version);
        route.put("mode", mode);
        route.put("lifetimeMs", ttlMs);
        return route;
    }

    Map<String, Object> route(final long ttlMs) {
        return route(PREFIX, "cached", ttlMs);
    }

    /** Sets routes and drops others, by name, in one call. */
    void change(final Map<String, Map<String, Object>> set, final String... dropped) {
        final Map<String, Object> update = new TreeMap<>();
        update.put("set", Map.of("routes", set));
        final Map<String, Long> drop = new TreeMap<>();
        for (final String name : dropped) {
            drop.put(name, ++version);
        }
        update.put("drop", Map.of("routes", drop));
        final List<Integer> statuses = new ArrayList<>();
        final SimNode node = cluster.node("sh2");
        node.execute(() -> node.node()
                .updateService()
                .apply(
                        Json.write(update).getBytes(StandardCharsets.UTF_8),
                        response -> statuses.add(response.status())));
        cluster.run(500);
        assertEquals(List.of(200), statuses);
    }

    void change(final String name, final Map<String, Object> route) {
        change(Map.of(name, route));
    }

    static String path(final int page) {
        return PREFIX + page;
    }

    /** Each page changes at its origins, without notice. */
    void replaceAll() {
        for (int page = 0; page < PAGES; page++) {
            cluster.stock(service()).change(path(page));
        }
    }

    private String service() {
        return cluster.place().kin().get(0).service();
    }

    private void purge(final Purge purge) {
        final List<Integer> statuses = new ArrayList<>();
        final SimNode node = cluster.node("sh3");
        node.execute(() -> node.node().updateService().purge(purge, response -> statuses.add(response.status())));
        cluster.run(200);
        assertEquals(List.of(200), statuses);
    }

    void purgeAll() {
        for (int page = 0; page < PAGES; page++) {
            purge(new Purge(null, path(page), null, HOST, null));
        }
    }

    /** Purges the tags of all pages, and tags that no page has, until the leader may collect them. */
    void purgeAllByTag() {
        for (int page = 0; page < PAGES; page++) {
            purge(new Purge(null, null, null, null, StandInBackend.tag(path(page))));
        }
        for (int unused = 0; unused < PAGES; unused++) {
            purge(new Purge(null, null, null, null, "unused" + unused));
        }
    }

    /** Origins take so long for a request from now on. */
    void work(final long ms) {
        cluster.origins().values().forEach(origin -> origin.fault("slow", ms));
    }

    /** Sends one read without waiting for its answer. */
    void send(final String edge, final int page, final Map<String, String> headers, final List<Read> reads) {
        final SimNode node = cluster.node(edge);
        final ClientRequest request = new ClientRequest(
                "GET", HOST, path(page), null, new byte[0], "", "page-" + ++requests, 1200, null, headers);
        node.execute(() -> node.node()
                .edge()
                .handle(
                        request,
                        response -> reads.add(new Read(
                                edge,
                                path(page),
                                response.status(),
                                revision(response.status(), response.body()),
                                "hit".equals(response.headers().get("Rv-Cache"))))));
    }

    private static long revision(final int status, final byte[] body) {
        return status == 200
                ? ((Number) Json.read(new String(body, StandardCharsets.UTF_8), Map.class)
                                .get("rev"))
                        .longValue()
                : 0;
    }

    /** Reads each page at each of these edges. */
    List<Read> readAll(final List<String> edges, final Map<String, String> headers) {
        final List<Read> reads = new ArrayList<>();
        for (int page = 0; page < PAGES; page++) {
            for (final String edge : edges) {
                send(edge, page, headers, reads);
                cluster.run(READ_INTERVAL_MS);
            }
        }
        cluster.run(ANSWER_MS);
        return reads;
    }

    List<Read> readAll() {
        return readAll(EDGES, Map.of());
    }

    /** Reads each page at each edge, and expects this revision each time. */
    void expect(final long revision, final List<Read> reads) {
        final List<Read> served =
                reads.stream().filter(read -> read.status() == 200).toList();
        final List<Read> others =
                served.stream().filter(read -> read.revision() != revision).toList();
        assertEquals(List.of(), others, others.size() + " of " + served.size() + " reads got another revision");
        assertTrue(served.size() * 10L >= reads.size() * 9L, served.size() + " of " + reads.size() + " were served");
    }

    /** Expects that every read which was a hit before is one again, with this revision. */
    static void expectHits(final long revision, final List<Read> before, final List<Read> after) {
        final Set<String> held =
                before.stream().filter(Read::hit).map(Read::place).collect(Collectors.toSet());
        assertTrue(held.size() * 10L >= before.size() * 8L, held.size() + " of " + before.size() + " were hits before");
        assertEquals(
                List.of(),
                after.stream()
                        .filter(read -> held.contains(read.place()) && (!read.hit() || read.revision() != revision))
                        .toList());
    }
}
