package org.rowanvalve.server.options;

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
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.JsonReader;
import org.rowanvalve.control.operator.UpdateLimits;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.data.settings.ReloadableSettings;

/**
 * The options of a process: from a JSON file and from flags, flags first. {@link OptionFlags} lists the flags, {@link
 * OptionValidator} checks the whole; {@code docs/CONFIG.md} says what each means.
 */
public record Options(
        NodeId id,
        Role role,
        String location,
        InetSocketAddress peerAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress clientAddress,
        Path dataDirectory,
        Map<NodeId, InetSocketAddress> seeds,
        Quorum quorum,
        Map<NodeId, InetSocketAddress> founders,
        Map<NodeId, InetSocketAddress> fixedRoutes,
        LeaseTimings timings,
        int shards,
        long cacheBytes,
        long stopTimeoutMs,
        boolean jsonLog,
        boolean firstBoot,
        double retryRatio,
        double retrySlack,
        Map<String, InetSocketAddress> furtherAddresses,
        List<String> locations,
        long drainNoticeMs,
        List<String> regions,
        int toleratedLosses,
        String voterShortage,
        int descriptors,
        long keyWindowMs,
        UpdateLimits updateLimits) {
    /**
     * File descriptors that are left to files, and to sockets other than those of clients: to peers, origins, own
     * addresses.
     */
    private static final int FILE_DESCRIPTORS = 200;

    private static final int PEER_DESCRIPTORS = 36;
    private static final int MIN_CLIENT_CONNECTIONS = 8;

    /** Null where there are errors. */
    public static Options read(final Role role, final String[] args, final List<ValidationError> errors) {
        final OptionSet given = parse(args, errors);
        if (given == null) {
            return null;
        }
        given.nonOptionArguments()
                .forEach(word -> errors.add(new ValidationError("command line", "unexpected word " + word)));
        final Map<String, Object> members = new LinkedHashMap<>();
        if (given.has(OptionFlags.FILE)) {
            read(Path.of((String) given.valueOf(OptionFlags.FILE)), members, errors);
        }
        OptionFlags.values(given, members);
        return new OptionValidator(role, members, errors).validate();
    }

    /** The file that the command line names; null where it names none. */
    static Path file(final String... args) {
        final OptionSet given = parse(args, new ArrayList<>());
        return given != null && given.has(OptionFlags.FILE) ? Path.of((String) given.valueOf(OptionFlags.FILE)) : null;
    }

    private static OptionSet parse(final String[] args, final List<ValidationError> errors) {
        try {
            return OptionFlags.parser().parse(args);
        } catch (final OptionException e) {
            errors.add(new ValidationError("command line", e.getMessage()));
            return null;
        }
    }

    private static void read(final Path file, final Map<String, Object> all, final List<ValidationError> errors) {
        try {
            final List<ValidationError> inFile = new ArrayList<>();
            final Object value = JsonReader.read(Files.readAllBytes(file), inFile);
            inFile.forEach(error -> errors.add(new ValidationError(file + error.path(), error.message())));
            if (value instanceof Map<?, ?> members) {
                members.forEach((name, member) -> all.put(String.valueOf(name), member));
            } else if (inFile.isEmpty()) {
                errors.add(new ValidationError(file.toString(), "an object is wanted here"));
            }
        } catch (final IOException e) {
            errors.add(new ValidationError(file.toString(), "cannot be read"));
        }
    }

    /** The same options once the voters are known. */
    public Options withFounders(final Map<NodeId, InetSocketAddress> founders) {
        return new Options(
                id,
                role,
                location,
                peerAddress,
                controlAddress,
                clientAddress,
                dataDirectory,
                seeds,
                new Quorum(List.copyOf(founders.keySet()), quorum.stores()),
                founders,
                fixedRoutes,
                timings,
                shards,
                cacheBytes,
                stopTimeoutMs,
                jsonLog,
                firstBoot,
                retryRatio,
                retrySlack,
                furtherAddresses,
                locations,
                drainNoticeMs,
                regions,
                toleratedLosses,
                voterShortage,
                descriptors,
                keyWindowMs,
                updateLimits);
    }

    /** How many connections of clients may be open at once. */
    public int maxClientConnections() {
        return descriptors == 0
                ? Integer.MAX_VALUE
                : Math.max(MIN_CLIENT_CONNECTIONS, descriptors - FILE_DESCRIPTORS - PEER_DESCRIPTORS);
    }

    /** What a running node, whose lease times are {@code runningTimings}, takes over when they change. */
    public ReloadableSettings reloadable(final LeaseTimings runningTimings) {
        return new ReloadableSettings(
                new LeaseTimings(runningTimings.leaseMs(), runningTimings.marginMs(), timings.maxViewAgeMs()),
                retryRatio,
                retrySlack,
                drainNoticeMs,
                regions,
                toleratedLosses);
    }

    /** Whether every voter has a disk, so that the voting set is stored and learned, not configured. */
    public boolean votersAreLearned() {
        return quorum.stores().isEmpty();
    }

    /** The voters as {@code ID@IP:PORT}. */
    public List<String> founderAddresses() {
        return founders.entrySet().stream()
                .map(entry -> entry.getKey() + "@" + entry.getValue().getHostString() + ":"
                        + entry.getValue().getPort())
                .toList();
    }

    /** The cell whose zone has this name; the name itself where there is none. */
    public String locationOfZone(final String zone) {
        return locations.stream()
                .filter(location -> location.endsWith("/" + zone))
                .findFirst()
                .orElse(zone);
    }

    /** The seeds and voters with their addresses. */
    public Map<NodeId, InetSocketAddress> knownAddresses() {
        final Map<NodeId, InetSocketAddress> map = new TreeMap<>(seeds);
        map.putAll(founders);
        return map;
    }
}
