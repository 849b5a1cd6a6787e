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
 * The options of a process, from a JSON file and from flags; flags take precedence. {@link OptionFlags} lists the flags, {@link
 * OptionValidator} validates them; {@code docs/CONFIG.md} describes each.
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
     * File descriptors reserved for files and for sockets other than those of clients: to peers and origins, and listening
     * sockets.
     */
    private static final int FILE_DESCRIPTORS = 200;

    private static final int PEER_DESCRIPTORS = 36;
    private static final int MIN_CLIENT_CONNECTIONS = 8;

    /** Reads the options; returns null if there are errors. */
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
        OptionFlags.putValues(given, members);
        return new OptionValidator(role, members, errors).validate();
    }

    /** Returns the option file named on the command line, or null. */
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

    private static void read(final Path file, final Map<String, Object> members, final List<ValidationError> errors) {
        try {
            final List<ValidationError> fileErrors = new ArrayList<>();
            final Object value = JsonReader.read(Files.readAllBytes(file), fileErrors);
            fileErrors.forEach(error -> errors.add(new ValidationError(file + error.path(), error.message())));
            if (value instanceof Map<?, ?> object) {
                object.forEach((name, member) -> members.put(String.valueOf(name), member));
            } else if (fileErrors.isEmpty()) {
                errors.add(new ValidationError(file.toString(), "an object is wanted here"));
            }
        } catch (final IOException e) {
            errors.add(new ValidationError(file.toString(), "cannot be read"));
        }
    }

    /** Returns a copy of these options with the given voters. */
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

    /** Returns how many client connections may be open at once. */
    public int maxClientConnections() {
        return descriptors == 0
                ? Integer.MAX_VALUE
                : Math.max(MIN_CLIENT_CONNECTIONS, descriptors - FILE_DESCRIPTORS - PEER_DESCRIPTORS);
    }

    /** Returns the settings that a running node applies on reload; it keeps the lease times of {@code runningTimings}. */
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

    /** Returns the location of the zone with this name, or the name itself if there is none. */
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
