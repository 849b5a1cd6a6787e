package rv.prog;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import rv.base.Finding;
import rv.base.NodeId;
import rv.base.Role;
import rv.base.Timing;
import rv.control.JsonReader;
import rv.control.JsonShape;
import rv.control.Quorum;
import rv.control.RecordRetention;
import rv.data.LiveSettings;

/** A process's place: from a JSON file, from flags, flags first; all faults are found before any is told. */
public record Options(
        NodeId id,
        Role role,
        String cell,
        InetSocketAddress wire,
        InetSocketAddress http,
        InetSocketAddress door,
        Path data,
        Map<NodeId, InetSocketAddress> seeds,
        Quorum quorum,
        Map<NodeId, InetSocketAddress> electors,
        Map<NodeId, InetSocketAddress> reach,
        Timing timing,
        int shards,
        long cacheBytes,
        long stopMs,
        boolean json,
        boolean first,
        double extraRatio,
        double extraSlack,
        Map<String, InetSocketAddress> faces,
        List<String> cells,
        long noticeMs,
        List<String> places,
        int wantedLosses,
        long keyWindowMs,
        String shortage) {

    static final List<String> FLAGS = List.of(
            "id",
            "cell",
            "wire",
            "http",
            "door",
            "data",
            "seeds",
            "electors",
            "stores",
            "reach",
            "d",
            "m",
            "shards",
            "cache-bytes",
            "stop-ms",
            "log",
            "seed-port",
            "first",
            "losses",
            "wanted-losses",
            "extra-ratio",
            "extra-slack",
            "purge-ms",
            "apply-ms",
            "drain-ms",
            "grace-s",
            "faces",
            "cells",
            "notice-ms",
            "key-window",
            "spread");

    public static OptionParser parser() {
        final OptionParser p = new OptionParser();
        p.accepts("help", "print this and end");
        p.accepts("version", "print the version and end");
        p.accepts("options", "JSON file with the options below as members")
                .withRequiredArg()
                .describedAs("FILE");
        p.accepts("id", "this node's name").withRequiredArg();
        p.accepts("cell", "the zone this node is in").withRequiredArg();
        p.accepts("wire", "address for other processes").withRequiredArg().describedAs("IP:PORT");
        p.accepts("http", "address for operators, origins and the platform")
                .withRequiredArg()
                .describedAs("IP:PORT");
        p.accepts("door", "address for callers (edges only)").withRequiredArg().describedAs("IP:PORT");
        p.accepts("data", "data folder (stores only)").withRequiredArg().describedAs("DIR");
        p.accepts("seeds", "three processes to begin with: ID@IP:PORT,...").withRequiredArg();
        p.accepts("electors", "an odd number of voters, default the seeds: ID@IP:PORT,...")
                .withRequiredArg();
        p.accepts("stores", "which electors are stores, default the first two: ID,ID")
                .withRequiredArg();
        p.accepts("reach", "other ways to peers: ID@IP:PORT,...").withRequiredArg();
        p.accepts("d", "lease duration in ms, at least 3000").withRequiredArg();
        p.accepts("m", "margin in ms, at least max(1000, D/10)").withRequiredArg();
        p.accepts("shards", "shards of the key space, the same on every node").withRequiredArg();
        p.accepts("cache-bytes", "room for cached copies").withRequiredArg();
        p.accepts("stop-ms", "how long an orderly stop may take").withRequiredArg();
        p.accepts("log", "text or json").withRequiredArg();
        p.accepts("seed-port", "wire port of seeds that are given without a name")
                .withRequiredArg();
        p.accepts("first", "true where the network is started for the first time")
                .withRequiredArg();
        p.accepts("losses", "electors that may be lost at once; nothing starts where their number cannot bear it")
                .withRequiredArg();
        p.accepts("wanted-losses", "the same, but told by an event only").withRequiredArg();
        p.accepts("extra-ratio", "extra tries for each request to a service").withRequiredArg();
        p.accepts("extra-slack", "extra tries beside those, in 10 s, over all nodes")
                .withRequiredArg();
        p.accepts("purge-ms", "when a purge must be in force everywhere").withRequiredArg();
        p.accepts("apply-ms", "when a configuration must be in force everywhere")
                .withRequiredArg();
        p.accepts("drain-ms", "when a leaving origin must get nothing more").withRequiredArg();
        p.accepts("grace-s", "when a stopping process is killed; its stop is over a second and a half earlier")
                .withRequiredArg();
        p.accepts("cells", "all zones, as REGION/ZONE,...").withRequiredArg();
        p.accepts("spread", "what objects are filled for apart: region, zone or none")
                .withRequiredArg();
        p.accepts("notice-ms", "how long a leaving edge still takes requests").withRequiredArg();
        p.accepts("key-window", "seconds in which a key runs once").withRequiredArg();
        p.accepts("faces", "further addresses for an adapter: NAME@IP:PORT,...").withRequiredArg();
        return p;
    }

    public static Options read(final Role role, final String[] args, final List<Finding> faults) {
        final OptionSet set;
        try {
            set = parser().parse(args);
        } catch (final OptionException e) {
            faults.add(new Finding("command line", e.getMessage()));
            return null;
        }
        set.nonOptionArguments().forEach(a -> faults.add(new Finding("command line", "unexpected word " + a)));
        final Map<String, Object> all = new LinkedHashMap<>();
        if (set.has("options")) {
            file(Path.of((String) set.valueOf("options")), all, faults);
        }
        for (final String f : FLAGS) {
            if (set.has(f)) {
                all.put(f, flag(f, (String) set.valueOf(f)));
            }
        }
        return check(role, all, faults);
    }

    /** The file that the command line names; null where it names none. */
    static Path file(final String... args) {
        try {
            final OptionSet set = parser().parse(args);
            return set.has("options") ? Path.of((String) set.valueOf("options")) : null;
        } catch (final OptionException e) {
            return null;
        }
    }

    private static void file(final Path at, final Map<String, Object> all, final List<Finding> faults) {
        try {
            final List<Finding> own = new ArrayList<>();
            final Object o = JsonReader.read(Files.readAllBytes(at), own);
            own.forEach(f -> faults.add(new Finding(at + f.place(), f.text())));
            if (o instanceof Map<?, ?> m) {
                m.forEach((k, v) -> all.put(String.valueOf(k), v));
            } else if (own.isEmpty()) {
                faults.add(new Finding(at.toString(), "an object is wanted here"));
            }
        } catch (final IOException e) {
            faults.add(new Finding(at.toString(), "cannot be read"));
        }
    }

    private static Object flag(final String name, final String text) {
        if (Set.of("seeds", "electors", "stores", "reach", "faces", "cells").contains(name)) {
            return text.isEmpty() ? List.of() : List.of((Object[]) text.split(","));
        }
        if (Set.of(
                                "d",
                                "m",
                                "shards",
                                "cache-bytes",
                                "stop-ms",
                                "seed-port",
                                "losses",
                                "wanted-losses",
                                "extra-ratio",
                                "extra-slack",
                                "purge-ms",
                                "apply-ms",
                                "drain-ms",
                                "grace-s",
                                "notice-ms",
                                "key-window")
                        .contains(name)
                && text.matches("-?[0-9]{1,15}([.][0-9]{1,6})?")) {
            return new java.math.BigDecimal(text);
        }
        if (name.equals("first") && Set.of("true", "false").contains(text)) {
            return Boolean.valueOf(text);
        }
        return text;
    }

    private static Options check(final Role role, final Map<String, Object> all, final List<Finding> faults) {
        final JsonShape s = new JsonShape(all, "", faults);
        final InetSocketAddress wire = site(s, "wire", s.text("wire", true, ""), false);
        final String id = s.text("id", wire == null, wire == null ? "" : named(wire));
        if (!id.isEmpty() && !id.matches("[a-z0-9][a-z0-9-]{0,40}")) {
            s.fault("id", "small letters, digits and dashes, at most 41");
        }
        final String cell = s.text("cell", false, "cell");
        final InetSocketAddress http = site(s, "http", s.text("http", true, ""), false);
        final String doorText = s.text("door", role == Role.EDGE, "");
        final InetSocketAddress door = role == Role.EDGE ? site(s, "door", doorText, false) : null;
        final List<String> names = list(all, "stores", s);
        final boolean disks = names.equals(List.of("none"));
        final String data = s.text("data", role == Role.STORE || disks && role == Role.SHIELD, "");
        final int seedPort = (int) s.whole("seed-port", false, 0, 0, 65_535);
        final Map<NodeId, InetSocketAddress> seeds = sites(
                s,
                "seeds",
                list(all, "seeds", s).stream().map(t -> seed(t, seedPort)).toList(),
                faults);
        if (seeds.size() != 3 && !(disks && seeds.size() > 0 && seeds.size() < 3)) {
            s.fault("seeds", "three are wanted, " + seeds.size() + " given");
        }
        final Map<NodeId, InetSocketAddress> named = sites(s, "electors", list(all, "electors", s), faults);
        final Map<NodeId, InetSocketAddress> electors = named.isEmpty() ? seeds : named;
        final int losses = (int) s.whole("losses", false, 0, 0, 100);
        final int wanted = (int) s.whole("wanted-losses", false, 0, 0, 100);
        final int most = electors.size() - electors.size() / 2 - 1;
        if (disks && losses > most) {
            s.fault("losses", electors.size() + " electors bear the loss of " + most + ", not of " + losses);
        }
        if (!disks && !electors.isEmpty() && (electors.size() % 2 == 0 || electors.size() > 5 || electors.size() < 3)) {
            s.fault("electors", "three or five are wanted, " + electors.size() + " given");
        }
        final List<NodeId> stores = disks
                ? List.of()
                : names.isEmpty()
                        ? electors.keySet().stream().limit(2).toList()
                        : names.stream()
                                .filter(n -> n.matches("[a-z0-9][a-z0-9-]{0,40}"))
                                .map(NodeId::of)
                                .toList();
        if (!disks
                && !electors.isEmpty()
                && (stores.size() != 2 || !electors.keySet().containsAll(stores))) {
            s.fault("stores", "two of the electors must be stores");
        }
        if (role == Role.STORE
                && !id.isEmpty()
                && stores.stream().noneMatch(n -> n.text().equals(id))) {
            s.fault("stores", "this store " + id + " is not among them");
        }
        final Map<NodeId, InetSocketAddress> reach = sites(s, "reach", list(all, "reach", s), faults);
        final long d = s.whole("d", false, 3000, 3000, 600_000);
        final long m = s.whole("m", false, Math.max(1000, d / 10), 1000, 200_000);
        Timing timing = Timing.DEFAULT;
        try {
            timing = new Timing(d, m, fresh(s));
        } catch (final IllegalArgumentException e) {
            s.fault("m", e.getMessage());
        }
        final int shards = (int) s.whole("shards", false, 32, 1, 4096);
        final long cache = s.whole("cache-bytes", false, 16L << 20, 1 << 16, 1L << 36);
        final long grace = s.whole("grace-s", false, 0, 0, 600);
        final long stop = s.whole("stop-ms", false, grace > 0 ? Math.max(500, grace * 1000 - 1500) : 8000, 0, 600_000);
        final boolean first = s.flag("first", true);
        final double ratio = s.number("extra-ratio", false, -1, 0, 10).doubleValue();
        final double slack = s.number("extra-slack", false, -1, 0, 100_000).doubleValue();
        final List<String> cells = list(all, "cells", s);
        final String spread = s.text("spread", false, "region");
        if (!Set.of("region", "zone", "none").contains(spread)) {
            s.fault("spread", "region, zone or none");
        }
        final List<String> places = spread.equals("none")
                ? List.of()
                : cells.stream()
                        .map(c -> spread.equals("zone") ? c : c.substring(0, c.lastIndexOf('/') + 1))
                        .distinct()
                        .sorted()
                        .toList();
        final long keyWindow = 1000 * s.whole("key-window", false, RecordRetention.DEFAULT_WINDOW / 1000, 1, 86_400);
        final long notice = s.whole("notice-ms", false, Math.min(1000, stop), 0, 600_000);
        if (!cells.isEmpty() && !cells.contains(cell)) {
            s.fault("cell", cell + " is not among the cells");
        }
        final Map<String, InetSocketAddress> faces = new LinkedHashMap<>();
        list(all, "faces", s)
                .forEach(t -> faces.put(
                        t.substring(0, Math.max(0, t.indexOf('@'))),
                        site(s, "faces", t.substring(t.indexOf('@') + 1), false)));
        final String log = s.text("log", false, "text");
        if (!Set.of("text", "json").contains(log)) {
            s.fault("log", "text or json");
        }
        s.end();
        return faults.isEmpty()
                ? new Options(
                        NodeId.of(id),
                        role,
                        cell,
                        wire,
                        http,
                        door,
                        data.isEmpty() ? null : Path.of(data),
                        seeds,
                        new Quorum(List.copyOf(electors.keySet()), Set.copyOf(stores)),
                        electors,
                        reach,
                        timing,
                        shards,
                        cache,
                        stop,
                        log.equals("json"),
                        first,
                        ratio < 0 ? 0.2 : ratio,
                        slack < 0 ? 60 : slack,
                        faces,
                        cells,
                        notice,
                        places,
                        wanted,
                        keyWindow,
                        disks && wanted > most
                                ? electors.size() + " electors bear the loss of " + most + ", not of " + wanted
                                : "")
                : null;
    }

    /** Three quarters of the shortest of the times within which all healthy nodes must go by something new. */
    private static long fresh(final JsonShape s) {
        final long least = List.of("purge-ms", "apply-ms", "drain-ms").stream()
                .mapToLong(n -> s.whole(n, false, 2000, 400, 600_000))
                .min()
                .orElse(2000);
        return Math.min(1500, least * 3 / 4);
    }

    /** A node without a name of its own is called by its address. */
    static String named(final InetSocketAddress at) {
        return "n" + at.getHostString().replace('.', '-');
    }

    /** A seed without a name, as {@code IP:PORT}. */
    private static String seed(final String text, final int port) {
        if (!text.matches("[0-9.]+:[0-9]+")) {
            return text;
        }
        final String host = text.substring(0, text.indexOf(':'));
        return named(new InetSocketAddress(host, 0)) + "@" + host + ":"
                + (port > 0 ? port : text.substring(text.indexOf(':') + 1));
    }

    /** The same place once it is known who votes. */
    public Options seated(final Map<NodeId, InetSocketAddress> who) {
        return new Options(
                id,
                role,
                cell,
                wire,
                http,
                door,
                data,
                seeds,
                new Quorum(List.copyOf(who.keySet()), quorum.stores()),
                who,
                reach,
                timing,
                shards,
                cacheBytes,
                stopMs,
                json,
                first,
                extraRatio,
                extraSlack,
                faces,
                cells,
                noticeMs,
                places,
                wantedLosses,
                keyWindowMs,
                shortage);
    }

    /** What a running node, whose lease times are {@code running}, takes over when they change. */
    LiveSettings live(final Timing running) {
        return new LiveSettings(
                new Timing(running.d(), running.m(), timing.fresh()),
                extraRatio,
                extraSlack,
                noticeMs,
                places,
                wantedLosses);
    }

    /** Whether every elector has a disk, so that the set of them is kept and learned, not stated. */
    public boolean learns() {
        return quorum.stores().isEmpty();
    }

    private static List<String> list(final Map<String, Object> all, final String name, final JsonShape s) {
        s.known(name);
        final Object o = all.get(name);
        if (o == null) {
            return List.of();
        }
        if (o instanceof List<?> l && l.stream().allMatch(e -> e instanceof String)) {
            return l.stream().map(String::valueOf).collect(Collectors.toList());
        }
        s.fault(name, "a list of texts is wanted here");
        return List.of();
    }

    private static Map<NodeId, InetSocketAddress> sites(
            final JsonShape s, final String name, final List<String> list, final List<Finding> faults) {
        final Map<NodeId, InetSocketAddress> map = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            final String at = name + "/" + i;
            final int cut = list.get(i).indexOf('@');
            final String id = cut < 0 ? "" : list.get(i).substring(0, cut);
            if (!id.matches("[a-z0-9][a-z0-9-]{0,40}")) {
                s.fault(at, "ID@IP:PORT is wanted, not " + list.get(i));
            } else {
                final InetSocketAddress a = site(s, at, list.get(i).substring(cut + 1), true);
                if (a != null && map.put(NodeId.of(id), a) != null) {
                    s.fault(at, id + " stands twice");
                }
            }
        }
        return map;
    }

    private static InetSocketAddress site(
            final JsonShape s, final String name, final String text, final boolean fixed) {
        if (text.isEmpty()) {
            return null;
        }
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
            s.fault(name, "IP:PORT is wanted, not " + text);
            return null;
        }
        final int cut = text.indexOf(':');
        final int port = Integer.parseInt(text.substring(cut + 1));
        if (port > 65_535 || fixed && port == 0) {
            s.fault(name, "port out of range");
            return null;
        }
        return new InetSocketAddress(text.substring(0, cut), port);
    }

    /** The electors as {@code ID@IP:PORT}. */
    public List<String> seats() {
        return electors.entrySet().stream()
                .map(e -> e.getKey() + "@" + e.getValue().getHostString() + ":"
                        + e.getValue().getPort())
                .toList();
    }

    public Map<NodeId, InetSocketAddress> known() {
        final Map<NodeId, InetSocketAddress> map = new TreeMap<>(seeds);
        map.putAll(electors);
        return map;
    }
}
