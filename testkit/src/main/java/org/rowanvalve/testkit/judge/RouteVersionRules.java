package org.rowanvalve.testkit.judge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Rules on the versions of routes: what they name is there, and requests go by a version that is new enough. */
final class RouteVersionRules {
    /** How long after its acknowledgement a version has to be in force everywhere. */
    private static final long APPLY_MS = 2500;

    private static final String SERVICE = "SERVICE/";

    private RouteVersionRules() {}

    private static Stream<RunFacts.Row> routes(final RunFacts facts, final String what) {
        return facts.of("op").stream()
                .filter(row -> row.text("what").equals(what) && row.text("item").startsWith("ROUTE/"));
    }

    private static List<?> services(final RunFacts.Row route) {
        return route.map().get("services") instanceof List<?> list ? list : List.of();
    }

    /** Each service that a route in force names is in force too. */
    static Verdict references(final RunFacts facts, final Verdict verdict) {
        final Map<String, List<?>> services = new HashMap<>();
        routes(facts, "sent")
                .forEach(row -> services.put(
                        row.text("item") + "|" + row.num("version") + " " + row.text("note"), services(row)));
        for (final RunFacts.Row read : facts.of("read")) {
            if (read.yes("whole") && read.map().get("items") instanceof Map<?, ?> items) {
                items.forEach((item, is) -> services.getOrDefault(item + "|" + is, List.of())
                        .forEach(service -> {
                            verdict.check();
                            if (!items.containsKey(SERVICE + service)) {
                                verdict.breach(read.text("node") + " reads back " + item + " at " + read.num("end")
                                        + ", which names " + service + ", and no such service");
                            }
                        }));
            }
        }
        return verdict;
    }

    /** A request that came to an edge without troubles reaches no service that only an older version names. */
    static Verdict requests(final RunFacts facts, final Verdict verdict) {
        final Map<String, RunFacts.Row> requests = new HashMap<>();
        facts.of("req").stream()
                .filter(row -> row.has("attempt"))
                .forEach(row -> requests.put(row.text("attempt"), row));
        final Map<String, List<RunFacts.Row>> sent = byPrefix(routes(facts, "sent"));
        final Map<String, List<RunFacts.Row>> taken =
                byPrefix(routes(facts, "put").filter(row -> row.num("status") == 200));
        for (final RunFacts.Row arrival : facts.of("org")) {
            final RunFacts.Row request = requests.get(arrival.text("request"));
            if (request != null) {
                final String prefix = prefixOf(arrival.text("path"));
                request(
                        facts,
                        request,
                        arrival,
                        sent.getOrDefault(prefix, List.of()),
                        taken.getOrDefault(prefix, List.of()),
                        verdict);
            }
        }
        return verdict;
    }

    private static Map<String, List<RunFacts.Row>> byPrefix(final Stream<RunFacts.Row> routes) {
        return routes.filter(row -> row.has("prefix")).collect(Collectors.groupingBy(row -> row.text("prefix")));
    }

    /** The paths of a run are a prefix and a name. */
    private static String prefixOf(final String path) {
        return path.substring(0, path.lastIndexOf('/') + 1);
    }

    private static void request(
            final RunFacts facts,
            final RunFacts.Row request,
            final RunFacts.Row arrival,
            final List<RunFacts.Row> sent,
            final List<RunFacts.Row> taken,
            final Verdict verdict) {
        final RunFacts.Row least = taken.stream()
                .filter(row -> row.num("end") + APPLY_MS < request.t())
                .reduce((a, b) -> b.num("version") > a.num("version") ? b : a)
                .orElse(null);
        if (least == null) {
            return;
        }
        if (!facts.healthy(request.text("node"), least.num("end"), arrival.t())
                || !facts.settled(least.num("end"), arrival.t())) {
            verdict.excuse();
            return;
        }
        verdict.check();
        final Set<Object> allowed = new HashSet<>();
        sent.stream()
                .filter(row -> row.num("version") >= least.num("version"))
                .forEach(row -> allowed.addAll(services(row)));
        if (!allowed.contains(arrival.text("service"))) {
            verdict.breach(request.text("attempt") + " came to " + request.text("node") + " at " + request.t()
                    + " and reached " + arrival.text("service") + " at " + arrival.t() + " from "
                    + arrival.text("from") + "; version " + least.num("version") + " of its route, accepted at "
                    + least.num("end") + ", and later ones name " + allowed);
        }
    }
}
