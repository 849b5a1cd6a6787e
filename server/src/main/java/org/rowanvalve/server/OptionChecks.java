package org.rowanvalve.server;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.control.JsonShape;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.RecordRetention;

/** Checks the members of the options' file and the flags as one whole; all faults are found before any is told. */
final class OptionChecks {
    private static final long MOST_MS = 600_000;
    private static final long LEAST_D = 3000;
    private static final long LEAST_M = 1000;
    private static final long MOST_M = 200_000;
    private static final int SEEDS = 3;
    private static final int MOST_ELECTORS = 5;
    private static final int STORES = 2;
    private static final int MOST_LOSSES = 100;
    private static final double DEFAULT_EXTRA_RATIO = 0.2;
    private static final double DEFAULT_EXTRA_SLACK = 60;
    private static final long DEFAULT_STOP_MS = 8000;
    /** How much earlier than its kill a stop is over. */
    private static final long STOP_MARGIN_MS = 1500;

    private static final long LEAST_STOP_MS = 500;
    /** A frame never counts for longer. */
    private static final long MOST_FRAME_MS = 1500;

    private final Role role;
    private final Map<String, Object> all;
    private final List<Finding> faults;
    private final JsonShape shape;
    private final AddressParser addresses;

    /** Who votes: by name, with which of them being stores, and how many losses they bear. */
    private record Voters(Map<NodeId, InetSocketAddress> electors, List<NodeId> stores, int wantedLosses) {
        int mostLosses() {
            return electors.size() - electors.size() / 2 - 1;
        }

        String shortage(final int losses) {
            return electors.size() + " electors bear the loss of " + mostLosses() + ", not of " + losses;
        }
    }

    OptionChecks(final Role role, final Map<String, Object> all, final List<Finding> faults) {
        this.role = role;
        this.all = all;
        this.faults = faults;
        this.shape = new JsonShape(all, "", faults);
        this.addresses = new AddressParser(shape);
    }

    /** Null where anything is wrong; the faults then say what. */
    Options check() {
        final InetSocketAddress wire = addresses.own("wire", shape.text("wire", true, ""));
        final String id = id(wire);
        final String cell = shape.text("cell", false, "cell");
        final InetSocketAddress http = addresses.own("http", shape.text("http", true, ""));
        final InetSocketAddress door = door();
        final List<String> storeNames = list("stores");
        final boolean allHaveDisks = storeNames.equals(List.of("none"));
        final String data = shape.text("data", role == Role.STORE || allHaveDisks && role == Role.SHIELD, "");
        final Map<NodeId, InetSocketAddress> seeds = seeds(allHaveDisks);
        final Voters voters = voters(id, seeds, storeNames, allHaveDisks);
        final Map<NodeId, InetSocketAddress> reach = addresses.peers("reach", list("reach"));
        final Timing timing = timing();
        final int shards = (int) shape.whole("shards", false, 32, 1, 4096);
        final long cacheBytes = shape.whole("cache-bytes", false, 16L << 20, 1 << 16, 1L << 36);
        final long stopMs = stopMs();
        final boolean first = shape.flag("first", true);
        final double ratio = shape.number("extra-ratio", false, -1, 0, 10).doubleValue();
        final double slack = shape.number("extra-slack", false, -1, 0, 100_000).doubleValue();
        final List<String> cells = list("cells");
        final List<String> places = places(cells);
        final long noticeMs = shape.whole("notice-ms", false, Math.min(1000, stopMs), 0, MOST_MS);
        if (!cells.isEmpty() && !cells.contains(cell)) {
            shape.fault("cell", cell + " is not among the cells");
        }
        final Map<String, InetSocketAddress> faces = addresses.byName("faces", list("faces"));
        final boolean json = json();
        final long keyWindowMs =
                1000 * shape.whole("key-window", false, RecordRetention.DEFAULT_WINDOW / 1000, 1, 86_400);
        final int descriptors = (int) shape.whole("descriptors", false, 0, 0, 1 << 30);
        shape.end();
        if (!faults.isEmpty()) {
            return null;
        }
        return new Options(
                NodeId.of(id),
                role,
                cell,
                wire,
                http,
                door,
                data.isEmpty() ? null : Path.of(data),
                seeds,
                new Quorum(List.copyOf(voters.electors().keySet()), Set.copyOf(voters.stores())),
                voters.electors(),
                reach,
                timing,
                shards,
                cacheBytes,
                stopMs,
                json,
                first,
                ratio < 0 ? DEFAULT_EXTRA_RATIO : ratio,
                slack < 0 ? DEFAULT_EXTRA_SLACK : slack,
                faces,
                cells,
                noticeMs,
                places,
                voters.wantedLosses(),
                allHaveDisks && voters.wantedLosses() > voters.mostLosses()
                        ? voters.shortage(voters.wantedLosses())
                        : "",
                descriptors,
                keyWindowMs);
    }

    private String id(final InetSocketAddress wire) {
        final String byAddress = wire == null ? "" : AddressParser.nodeName(wire.getHostString());
        final String id = shape.text("id", wire == null, byAddress);
        if (!id.isEmpty() && !id.matches(AddressParser.NODE_NAME)) {
            shape.fault("id", "small letters, digits and dashes, at most 41");
        }
        return id;
    }

    private InetSocketAddress door() {
        final String text = shape.text("door", role == Role.EDGE, "");
        return role == Role.EDGE ? addresses.own("door", text) : null;
    }

    private Map<NodeId, InetSocketAddress> seeds(final boolean allHaveDisks) {
        final int wirePort = (int) shape.whole("seed-port", false, 0, 0, 65_535);
        final Map<NodeId, InetSocketAddress> seeds = addresses.seeds("seeds", list("seeds"), wirePort);
        final boolean fewerWillDo = allHaveDisks && !seeds.isEmpty() && seeds.size() < SEEDS;
        if (seeds.size() != SEEDS && !fewerWillDo) {
            shape.fault("seeds", "three are wanted, " + seeds.size() + " given");
        }
        return seeds;
    }

    private Voters voters(
            final String id,
            final Map<NodeId, InetSocketAddress> seeds,
            final List<String> storeNames,
            final boolean allHaveDisks) {
        final Map<NodeId, InetSocketAddress> named = addresses.peers("electors", list("electors"));
        final Map<NodeId, InetSocketAddress> electors = named.isEmpty() ? seeds : named;
        final int losses = (int) shape.whole("losses", false, 0, 0, MOST_LOSSES);
        final int wantedLosses = (int) shape.whole("wanted-losses", false, 0, 0, MOST_LOSSES);
        final List<NodeId> stores = allHaveDisks ? List.of() : stores(electors, storeNames);
        final Voters voters = new Voters(electors, stores, wantedLosses);
        if (allHaveDisks && losses > voters.mostLosses()) {
            shape.fault("losses", voters.shortage(losses));
        }
        if (!allHaveDisks && !electors.isEmpty()) {
            storesAmong(voters);
        }
        if (role == Role.STORE
                && !id.isEmpty()
                && stores.stream().noneMatch(s -> s.text().equals(id))) {
            shape.fault("stores", "this store " + id + " is not among them");
        }
        return voters;
    }

    private static List<NodeId> stores(final Map<NodeId, InetSocketAddress> electors, final List<String> names) {
        if (names.isEmpty()) {
            return electors.keySet().stream().limit(STORES).toList();
        }
        return names.stream()
                .filter(name -> name.matches(AddressParser.NODE_NAME))
                .map(NodeId::of)
                .toList();
    }

    private void storesAmong(final Voters voters) {
        final int count = voters.electors().size();
        if (count % 2 == 0 || count > MOST_ELECTORS || count < SEEDS) {
            shape.fault("electors", "three or five are wanted, " + count + " given");
        }
        if (voters.stores().size() != STORES || !voters.electors().keySet().containsAll(voters.stores())) {
            shape.fault("stores", "two of the electors must be stores");
        }
    }

    private Timing timing() {
        final long d = shape.whole("d", false, LEAST_D, LEAST_D, MOST_MS);
        final long m = shape.whole("m", false, Math.max(LEAST_M, d / 10), LEAST_M, MOST_M);
        try {
            return new Timing(d, m, frameMs());
        } catch (final IllegalArgumentException e) {
            shape.fault("m", e.getMessage());
            return Timing.DEFAULT;
        }
    }

    /** Three quarters of the shortest of the times within which all healthy nodes must go by something new. */
    private long frameMs() {
        final long least = List.of("purge-ms", "apply-ms", "drain-ms").stream()
                .mapToLong(name -> shape.whole(name, false, 2000, 400, MOST_MS))
                .min()
                .orElse(2000);
        return Math.min(MOST_FRAME_MS, least * 3 / 4);
    }

    private long stopMs() {
        final long grace = shape.whole("grace-s", false, 0, 0, 600);
        final long byGrace = grace > 0 ? Math.max(LEAST_STOP_MS, grace * 1000 - STOP_MARGIN_MS) : DEFAULT_STOP_MS;
        return shape.whole("stop-ms", false, byGrace, 0, MOST_MS);
    }

    /** What objects are filled for apart: zones, or the regions that cells begin with. */
    private List<String> places(final List<String> cells) {
        final String spread = shape.text("spread", false, "region");
        if (!Set.of("region", "zone", "none").contains(spread)) {
            shape.fault("spread", "region, zone or none");
        }
        if (spread.equals("none")) {
            return List.of();
        }
        return cells.stream()
                .map(cell -> spread.equals("zone") ? cell : cell.substring(0, cell.lastIndexOf('/') + 1))
                .distinct()
                .sorted()
                .toList();
    }

    private boolean json() {
        final String log = shape.text("log", false, "text");
        if (!Set.of("text", "json").contains(log)) {
            shape.fault("log", "text or json");
        }
        return log.equals("json");
    }

    private List<String> list(final String name) {
        shape.known(name);
        final Object value = all.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list && list.stream().allMatch(e -> e instanceof String)) {
            return list.stream().map(String::valueOf).collect(Collectors.toList());
        }
        shape.fault(name, "a list of texts is wanted here");
        return List.of();
    }
}
