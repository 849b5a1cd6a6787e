package org.rowanvalve.testkit.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.log.RunLog;

/**
 * One deployment: its machines, its origins, its configuration and its mix of requests; {@code losses} shields may be
 * lost at once, and one that is back counts as lost for {@code catchUpMs} more.
 */
public record Deployment(
        String name,
        int edges,
        int shields,
        List<String> cells,
        long regionMs,
        long syncMs,
        int perSecond,
        List<Backend> kin,
        boolean hasty,
        boolean shieldRun,
        int losses,
        long catchUpMs) {
    public static final Set<String> NAMES =
            Set.of("kilimanjaro", "coastline", "kilimanjaro-shields", "coastline-shields", "coastline-six");
    private static final long CATCH_UP_MS = 4000;
    /** How many shields vote at the first start, where shields vote. */
    private static final int FOUNDERS = 3;

    private static final String HOST = "shop.example";

    /** A service, its origins, and the routes to it; {@code share} of requests each route gets. */
    public record Backend(String service, String kind, double rate, int origins, List<TrafficClass> trafficClasses) {
        /** The body of the service's item; without a rate where it has none. */
        public Map<String, Object> body() {
            return RunLog.row("kind", kind, "rate", rate > 0 ? rate : null);
        }
    }

    /** {@code host} and {@code split} are for routes of a shield-run place: which services share the requests, by weight. */
    public record TrafficClass(
            String route,
            String prefix,
            String mode,
            long lifetimeMs,
            boolean purgeable,
            double share,
            int objects,
            String host,
            Map<String, Integer> split) {
        public TrafficClass(
                final String route,
                final String prefix,
                final String mode,
                final long lifetimeMs,
                final boolean purgeable,
                final double share,
                final int objects) {
            this(route, prefix, mode, lifetimeMs, purgeable, share, objects, "", Map.of());
        }

        static TrafficClass at(
                final String route,
                final String mode,
                final long lifetimeMs,
                final double share,
                final int objects,
                final Map<String, Integer> split) {
            return new TrafficClass(
                    route, "/" + route + "/", mode, lifetimeMs, true, share, objects, HOST, new TreeMap<>(split));
        }

        /** The same requests by a route of this name, prefix and time to live. */
        public TrafficClass by(final String otherRoute, final String otherPrefix, final long otherLifetimeMs) {
            return new TrafficClass(
                    otherRoute, otherPrefix, mode, otherLifetimeMs, purgeable, share, objects, host, split);
        }

        /** An object's path; {@code roll} is in [0, 1), and a higher {@code skew} asks more often for the first objects. */
        public String path(final double roll, final int skew) {
            double index = objects;
            for (int i = 0; i < skew; i++) {
                index *= roll;
            }
            return prefix + (int) index;
        }

        /** Whether a request may run at most once. */
        public boolean runs() {
            return mode.equals("once") || mode.equals("single");
        }
    }

    public static Deployment kilimanjaro() {
        return new Deployment(
                "kilimanjaro",
                11,
                4,
                List.of("north", "east", "south", "west"),
                0,
                1,
                370,
                List.of(
                        new Backend(
                                "stock",
                                "content",
                                60,
                                4,
                                List.of(new TrafficClass("stock", "/stock/", "cached", 2000, true, 0.667, 120))),
                        new Backend(
                                "catalog",
                                "content",
                                30,
                                3,
                                List.of(
                                        new TrafficClass("catalog", "/catalog/", "cached", 15_000, true, 0.15, 80),
                                        new TrafficClass("terms", "/terms/", "cached", 60_000, false, 0.02, 5))),
                        new Backend(
                                "reserve",
                                "booking",
                                0,
                                3,
                                List.of(new TrafficClass("reserve", "/reserve/", "once", 0, true, 0.06, 50))),
                        new Backend(
                                "collect",
                                "booking",
                                0,
                                2,
                                List.of(new TrafficClass("collect", "/collect/", "status", 0, true, 0.103, 200)))),
                false,
                false,
                0,
                0);
    }

    public static Deployment coastline() {
        return new Deployment(
                "coastline",
                9,
                4,
                List.of("coast-a", "coast-b", "interior-a", "interior-b"),
                17,
                5,
                225,
                List.of(
                        new Backend(
                                "listing",
                                "content",
                                40,
                                4,
                                List.of(
                                        new TrafficClass("listing", "/courses/", "cached", 5000, true, 0.45, 150),
                                        new TrafficClass("campus", "/campus/", "cached", 60_000, false, 0.05, 8))),
                        new Backend(
                                "seats",
                                "content",
                                50,
                                3,
                                List.of(new TrafficClass("seats", "/seats/", "cached", 1500, true, 0.25, 60))),
                        new Backend(
                                "claim",
                                "booking",
                                0,
                                3,
                                List.of(new TrafficClass("claim", "/claim/", "once", 0, true, 0.1, 60))),
                        new Backend(
                                "apply",
                                "booking",
                                0,
                                2,
                                List.of(new TrafficClass("status", "/status/", "status", 0, true, 0.15, 300)))),
                true,
                false,
                0,
                0);
    }

    /** No stores: three of four shields vote, each with a disk; rates hold for all origins of a service together. */
    public static Deployment kilimanjaroShields() {
        return new Deployment(
                "kilimanjaro-shields",
                6,
                4,
                List.of("dar/kurasini", "dar/mikocheni", "dar/ubungo", "dar/kipawa"),
                0,
                1,
                180,
                List.of(
                        new Backend(
                                "shelf",
                                "open",
                                60,
                                4,
                                List.of(
                                        TrafficClass.at(
                                                "gate", "cached", 2000, 0.55, 120, Map.of("shelf", 90, "annex", 10)),
                                        TrafficClass.at(
                                                "catalogue", "cached", 15_000, 0.15, 80, Map.of("shelf", 100)))),
                        new Backend("annex", "open", 30, 2, List.of()),
                        new Backend(
                                "till",
                                "open",
                                0,
                                6,
                                List.of(
                                        TrafficClass.at("reserve", "once", 0, 0.1, 50, Map.of("till", 70, "desk", 30)),
                                        TrafficClass.at("collect", "status", 0, 0.13, 200, Map.of("till", 100)),
                                        TrafficClass.at(
                                                "hold", "single", 0, 0.07, 50, Map.of("till", 50, "desk", 50)))),
                        new Backend("desk", "open", 0, 3, List.of())),
                false,
                true,
                1,
                CATCH_UP_MS);
    }

    public static Deployment coastlineShields() {
        return new Deployment(
                "coastline-shields",
                6,
                4,
                List.of("coast/burnaby", "coast/surrey", "interior/kelowna", "interior/kamloops"),
                17,
                5,
                150,
                List.of(
                        new Backend(
                                "listing",
                                "open",
                                60,
                                4,
                                List.of(
                                        TrafficClass.at("course", "cached", 5000, 0.45, 150, Map.of("listing", 100)),
                                        TrafficClass.at(
                                                "seats",
                                                "cached",
                                                1500,
                                                0.2,
                                                60,
                                                Map.of("listing", 80, "mirror", 20)))),
                        new Backend("mirror", "open", 30, 2, List.of()),
                        new Backend(
                                "registrar",
                                "open",
                                0,
                                6,
                                List.of(
                                        TrafficClass.at(
                                                "claim", "once", 0, 0.15, 60, Map.of("registrar", 80, "clerk", 20)),
                                        TrafficClass.at("status", "status", 0, 0.15, 300, Map.of("registrar", 100)),
                                        TrafficClass.at(
                                                "waitlist",
                                                "single",
                                                0,
                                                0.05,
                                                50,
                                                Map.of("registrar", 50, "clerk", 50)))),
                        new Backend("clerk", "open", 0, 3, List.of())),
                true,
                true,
                1,
                CATCH_UP_MS);
    }

    /** Six shields in six zones of two regions: five of them vote, and two may be lost at once. */
    public static Deployment coastlineSix() {
        final Deployment deployment = coastlineShields();
        return new Deployment(
                "coastline-six",
                deployment.edges(),
                6,
                List.of(
                        "coast/burnaby",
                        "coast/surrey",
                        "coast/richmond",
                        "interior/kelowna",
                        "interior/kamloops",
                        "interior/vernon"),
                deployment.regionMs(),
                deployment.syncMs(),
                deployment.perSecond(),
                deployment.kin(),
                deployment.hasty(),
                deployment.shieldRun(),
                2,
                6000);
    }

    /** The same with more shields. */
    public static Deployment larger(final Deployment deployment, final int shields) {
        return new Deployment(
                deployment.name(),
                deployment.edges(),
                shields,
                deployment.cells(),
                deployment.regionMs(),
                deployment.syncMs(),
                deployment.perSecond(),
                deployment.kin(),
                deployment.hasty(),
                deployment.shieldRun(),
                shields < 6 ? 1 : 2,
                deployment.catchUpMs());
    }

    public static Deployment of(final String name) {
        return switch (name) {
            case "kilimanjaro" -> kilimanjaro();
            case "coastline" -> coastline();
            case "kilimanjaro-shields" -> kilimanjaroShields();
            case "coastline-shields" -> coastlineShields();
            case "coastline-six" -> coastlineSix();
            default -> throw new IllegalArgumentException("no deployment is named " + name);
        };
    }

    public List<String> machines() {
        final List<String> list = new ArrayList<>(shieldRun ? List.of() : List.of("st1", "st2"));
        for (int i = 1; i <= shields; i++) {
            list.add("sh" + i);
        }
        for (int i = 1; i <= edges; i++) {
            list.add("ed" + i);
        }
        return list;
    }

    public List<String> electors() {
        return shieldRun ? shieldNames().stream().limit(FOUNDERS).toList() : List.of("st1", "st2", "sh1");
    }

    /** Machines whose disk outlives a loss of power. */
    public List<String> disks() {
        return machines().stream()
                .filter(m -> m.startsWith(shieldRun ? "sh" : "st"))
                .toList();
    }

    public List<String> origins() {
        final List<String> list = new ArrayList<>();
        kin.forEach(backend -> {
            for (int i = 1; i <= backend.origins(); i++) {
                list.add(backend.service() + i);
            }
        });
        return list;
    }

    public String cell(final String node) {
        final int n = Integer.parseInt(node.substring(2));
        return cells.get((n - 1) % cells.size());
    }

    /** The name of the machine that takes this one's place in its zone. */
    public String successor(final String node) {
        return node.substring(0, 2) + (Integer.parseInt(node.substring(2)) + cells.size());
    }

    public List<String> shieldNames() {
        return machines().stream().filter(m -> m.startsWith("sh")).toList();
    }

    public List<String> edgeNames() {
        return machines().stream().filter(m -> m.startsWith("ed")).toList();
    }

    /** Regions are the first and the second half of the cells. */
    public boolean apart(final String a, final String b) {
        return regionMs > 0 && half(a) != half(b);
    }

    private int half(final String node) {
        return (Integer.parseInt(node.replaceAll("[^0-9]", "")) - 1) % cells.size() < cells.size() / 2 ? 0 : 1;
    }

    public String config() {
        final Map<String, Object> services = RunLog.row();
        final Map<String, Object> routes = RunLog.row();
        for (final Backend backend : kin) {
            services.put(backend.service(), backend.body());
            backend.trafficClasses().forEach(traffic -> routes.put(traffic.route(), routeBody(traffic)));
        }
        return Json.write(RunLog.row("services", services, "routes", routes));
    }

    /** The body of a route's item. */
    public Map<String, Object> routeBody(final TrafficClass traffic) {
        return RunLog.row(
                "prefix",
                traffic.prefix(),
                "service",
                serviceOf(traffic),
                "mode",
                traffic.mode(),
                "lifetimeMs",
                traffic.mode().equals("cached") ? traffic.lifetimeMs() : null,
                "purgeable",
                traffic.purgeable());
    }

    /** The service to which a route leads. */
    public String serviceOf(final TrafficClass traffic) {
        return kin.stream()
                .filter(backend -> backend.trafficClasses().contains(traffic))
                .findFirst()
                .orElseThrow()
                .service();
    }

    /** Log rows for an answer to the first configuration: one for each service and each route, in version 1. */
    public List<Map<String, Object>> configRows(final long startedAt, final long endedAt, final int status) {
        final List<Map<String, Object>> rows = new ArrayList<>();
        for (final Backend backend : kin) {
            final Map<String, Object> row = configRow(startedAt, endedAt, status, "SERVICE/" + backend.service());
            row.put("service", backend.service());
            row.put("kind", backend.kind());
            row.put("rate", backend.rate());
            rows.add(row);
            backend.trafficClasses()
                    .forEach(traffic -> rows.add(configRow(startedAt, endedAt, status, "ROUTE/" + traffic.route())));
        }
        return rows;
    }

    private static Map<String, Object> configRow(
            final long startedAt, final long endedAt, final int status, final String item) {
        return RunLog.row(
                "log", "op", "t", startedAt, "end", endedAt, "what", "put", "item", item, "status", status, "version",
                1);
    }

    public List<TrafficClass> ways() {
        return kin.stream()
                .flatMap(backend -> backend.trafficClasses().stream())
                .toList();
    }

    public List<TrafficClass> cachedRoutes() {
        return ways().stream()
                .filter(traffic -> traffic.mode().equals("cached"))
                .toList();
    }

    public List<TrafficClass> purgeableRoutes() {
        return cachedRoutes().stream().filter(TrafficClass::purgeable).toList();
    }

    public TrafficClass pick(final double roll) {
        double sum = 0;
        for (final TrafficClass traffic : ways()) {
            sum += traffic.share();
            if (roll < sum) {
                return traffic;
            }
        }
        return ways().get(0);
    }
}
