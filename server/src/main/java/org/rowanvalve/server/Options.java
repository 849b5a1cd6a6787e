package org.rowanvalve.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import joptsimple.OptionException;
import joptsimple.OptionSet;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.control.JsonReader;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.data.LiveSettings;

/**
 * What a process is told about its place: from a JSON file and from flags, flags first. {@code OptionFlags} lists the
 * flags, {@code OptionChecks} checks the whole; {@code docs/CONFIG.md} says what each means.
 */
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
        String shortage,
        int descriptors,
        long keyWindowMs) {
    /** Descriptors that are left to files, and to sockets other than those of callers: to peers, origins, own addresses. */
    private static final int FOR_FILES = 200;

    private static final int FOR_PEERS = 36;
    private static final int FEWEST_CONNECTIONS = 8;

    /** Null where there are faults. */
    public static Options read(final Role role, final String[] args, final List<Finding> faults) {
        final OptionSet given = parse(args, faults);
        if (given == null) {
            return null;
        }
        given.nonOptionArguments().forEach(a -> faults.add(new Finding("command line", "unexpected word " + a)));
        final Map<String, Object> all = new LinkedHashMap<>();
        if (given.has(OptionFlags.FILE)) {
            read(Path.of((String) given.valueOf(OptionFlags.FILE)), all, faults);
        }
        OptionFlags.values(given, all);
        return new OptionChecks(role, all, faults).check();
    }

    /** The file that the command line names; null where it names none. */
    static Path file(final String... args) {
        final OptionSet given = parse(args, new ArrayList<>());
        return given != null && given.has(OptionFlags.FILE) ? Path.of((String) given.valueOf(OptionFlags.FILE)) : null;
    }

    private static OptionSet parse(final String[] args, final List<Finding> faults) {
        try {
            return OptionFlags.parser().parse(args);
        } catch (final OptionException e) {
            faults.add(new Finding("command line", e.getMessage()));
            return null;
        }
    }

    private static void read(final Path file, final Map<String, Object> all, final List<Finding> faults) {
        try {
            final List<Finding> inFile = new ArrayList<>();
            final Object value = JsonReader.read(Files.readAllBytes(file), inFile);
            inFile.forEach(f -> faults.add(new Finding(file + f.place(), f.text())));
            if (value instanceof Map<?, ?> members) {
                members.forEach((name, member) -> all.put(String.valueOf(name), member));
            } else if (inFile.isEmpty()) {
                faults.add(new Finding(file.toString(), "an object is wanted here"));
            }
        } catch (final IOException e) {
            faults.add(new Finding(file.toString(), "cannot be read"));
        }
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
                shortage,
                descriptors,
                keyWindowMs);
    }

    /** How many connections of callers may be open at once. */
    int doorConnections() {
        return descriptors == 0 ? Integer.MAX_VALUE : Math.max(FEWEST_CONNECTIONS, descriptors - FOR_FILES - FOR_PEERS);
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

    /** The electors as {@code ID@IP:PORT}. */
    public List<String> seats() {
        return electors.entrySet().stream()
                .map(e -> e.getKey() + "@" + e.getValue().getHostString() + ":"
                        + e.getValue().getPort())
                .toList();
    }

    /** The cell whose zone has this name; the name itself where there is none. */
    public String cellOf(final String zone) {
        return cells.stream().filter(c -> c.endsWith("/" + zone)).findFirst().orElse(zone);
    }

    /** The seeds and electors with their addresses. */
    public Map<NodeId, InetSocketAddress> known() {
        final Map<NodeId, InetSocketAddress> map = new TreeMap<>(seeds);
        map.putAll(electors);
        return map;
    }
}
