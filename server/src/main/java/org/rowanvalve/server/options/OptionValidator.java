package org.rowanvalve.server.options;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.operator.UpdateLimits;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.voting.Quorum;

/** Validates the members of the option file together with the flags and collects all errors before any is reported. */
final class OptionValidator {
    private static final long MAX_MS = 600_000;
    private static final long MIN_UPDATE_BYTES = 64 << 10;
    private static final long MAX_CONFIGURATION_BYTES = 1L << 32;
    private static final long MIN_LEASE_MS = 3000;
    private static final long MIN_MARGIN_MS = 1000;
    private static final long MAX_MARGIN_MS = 200_000;
    private static final int SEED_COUNT = 3;
    private static final int MAX_FOUNDERS = 5;
    private static final int STORE_COUNT = 2;
    private static final int MAX_LOSSES = 100;
    private static final double DEFAULT_RETRY_RATIO = 0.2;
    private static final double DEFAULT_RETRY_SLACK = 60;
    private static final long DEFAULT_STOP_MS = 8000;
    /** The part of the grace period that is left between the end of a graceful shutdown and the kill. */
    private static final int STOP_MARGIN_DIVISOR = 8;

    private static final long MIN_STOP_MARGIN_MS = 500;
    private static final long MIN_STOP_MS = 500;
    private static final long MAX_VIEW_AGE_MS = 1500;

    private final Role role;
    private final Map<String, Object> members;
    private final List<ValidationError> errors;
    private final JsonObjectReader object;
    private final AddressParser addresses;

    /** The founding voters: their names, which of them are stores, and how many losses they should tolerate. */
    private record Voters(Map<NodeId, InetSocketAddress> founders, List<NodeId> stores, int toleratedLosses) {
        int maxLosses() {
            return founders.size() - founders.size() / 2 - 1;
        }

        String shortage(final int wanted) {
            return founders.size() + " electors bear the loss of " + maxLosses() + ", not of " + wanted;
        }
    }

    OptionValidator(final Role role, final Map<String, Object> members, final List<ValidationError> errors) {
        this.role = role;
        this.members = members;
        this.errors = errors;
        this.object = new JsonObjectReader(members, "", errors);
        this.addresses = new AddressParser(object);
    }

    /** Returns the options, or null if there are errors. */
    Options validate() {
        final InetSocketAddress peerAddress = addresses.listenAddress("wire", object.text("wire", true, ""));
        final String id = id(peerAddress);
        final String location = object.text("cell", false, "cell");
        final InetSocketAddress controlAddress = addresses.listenAddress("http", object.text("http", true, ""));
        final InetSocketAddress door = clientAddress();
        final List<String> storeNames = list("stores");
        final boolean allHaveDisks = storeNames.equals(List.of("none"));
        final String data = object.text("data", role == Role.STORE || allHaveDisks && role == Role.SHIELD, "");
        final Map<NodeId, InetSocketAddress> seeds = seeds(allHaveDisks);
        final Voters voters = voters(id, seeds, storeNames, allHaveDisks);
        final Map<NodeId, InetSocketAddress> fixedRoutes = addresses.peers("reach", list("reach"));
        final LeaseTimings timings = timings();
        final int shards = (int) object.wholeNumber("shards", false, 32, 1, 4096);
        final long cacheBytes = object.wholeNumber("cache-bytes", false, 16L << 20, 1 << 16, 1L << 36);
        final long stopMs = stopMs();
        final boolean firstBoot = object.booleanValue("first", true);
        final double retryRatio = object.number("extra-ratio", false, -1, 0, 10).doubleValue();
        final double retrySlack =
                object.number("extra-slack", false, -1, 0, 100_000).doubleValue();
        final List<String> locations = list("cells");
        final List<String> regions = regions(locations);
        final long noticeMs = object.wholeNumber("notice-ms", false, Math.min(1000, stopMs), 0, MAX_MS);
        if (!locations.isEmpty() && !locations.contains(location)) {
            object.addError("cell", location + " is not among the cells");
        }
        final Map<String, InetSocketAddress> furtherAddresses = addresses.byName("faces", list("faces"));
        final boolean jsonLog = json();
        final long keyWindowMs =
                1000 * object.wholeNumber("key-window", false, RecordRetention.DEFAULT_WINDOW_MS / 1000, 1, 86_400);
        final UpdateLimits updateLimits = updateLimits();
        final int descriptors = (int) object.wholeNumber("descriptors", false, 0, 0, 1 << 30);
        object.rejectUnknownMembers();
        if (!errors.isEmpty()) {
            return null;
        }
        return new Options(
                NodeId.of(id),
                role,
                location,
                peerAddress,
                controlAddress,
                door,
                data.isEmpty() ? null : Path.of(data),
                seeds,
                new Quorum(List.copyOf(voters.founders().keySet()), Set.copyOf(voters.stores())),
                voters.founders(),
                fixedRoutes,
                timings,
                shards,
                cacheBytes,
                stopMs,
                jsonLog,
                firstBoot,
                retryRatio < 0 ? DEFAULT_RETRY_RATIO : retryRatio,
                retrySlack < 0 ? DEFAULT_RETRY_SLACK : retrySlack,
                furtherAddresses,
                locations,
                noticeMs,
                regions,
                voters.toleratedLosses(),
                allHaveDisks && voters.toleratedLosses() > voters.maxLosses()
                        ? voters.shortage(voters.toleratedLosses())
                        : "",
                descriptors,
                keyWindowMs,
                updateLimits);
    }

    private UpdateLimits updateLimits() {
        final int updateBytes = (int) object.wholeNumber(
                "update-bytes", false, UpdateLimits.MAX_UPDATE_BYTES, MIN_UPDATE_BYTES, UpdateLimits.MAX_UPDATE_BYTES);
        final long configurationBytes = object.wholeNumber(
                "configuration-bytes",
                false,
                UpdateLimits.DEFAULT_CONFIGURATION_BYTES,
                updateBytes,
                MAX_CONFIGURATION_BYTES);
        return new UpdateLimits(updateBytes, configurationBytes);
    }

    private String id(final InetSocketAddress peerAddress) {
        final String defaultName = peerAddress == null ? "" : AddressParser.nodeName(peerAddress.getHostString());
        final String id = object.text("id", peerAddress == null, defaultName);
        if (!id.isEmpty() && !id.matches(AddressParser.NODE_NAME)) {
            object.addError("id", "small letters, digits and dashes, at most 41");
        }
        return id;
    }

    private InetSocketAddress clientAddress() {
        final String text = object.text("door", role == Role.EDGE, "");
        return role == Role.EDGE ? addresses.listenAddress("door", text) : null;
    }

    private Map<NodeId, InetSocketAddress> seeds(final boolean allHaveDisks) {
        final int wirePort = (int) object.wholeNumber("seed-port", false, 0, 0, 65_535);
        final Map<NodeId, InetSocketAddress> seeds = addresses.seeds("seeds", list("seeds"), wirePort);
        final boolean fewerAllowed = allHaveDisks && !seeds.isEmpty() && seeds.size() < SEED_COUNT;
        if (seeds.size() != SEED_COUNT && !fewerAllowed) {
            object.addError("seeds", "three are wanted, " + seeds.size() + " given");
        }
        return seeds;
    }

    private Voters voters(
            final String id,
            final Map<NodeId, InetSocketAddress> seeds,
            final List<String> storeNames,
            final boolean allHaveDisks) {
        final Map<NodeId, InetSocketAddress> named = addresses.peers("electors", list("electors"));
        final Map<NodeId, InetSocketAddress> founders = named.isEmpty() ? seeds : named;
        final int losses = (int) object.wholeNumber("losses", false, 0, 0, MAX_LOSSES);
        final int toleratedLosses = (int) object.wholeNumber("wanted-losses", false, 0, 0, MAX_LOSSES);
        final List<NodeId> stores = allHaveDisks ? List.of() : stores(founders, storeNames);
        final Voters voters = new Voters(founders, stores, toleratedLosses);
        if (allHaveDisks && losses > voters.maxLosses()) {
            object.addError("losses", voters.shortage(losses));
        }
        if (!allHaveDisks && !founders.isEmpty()) {
            checkStores(voters);
        }
        if (role == Role.STORE
                && !id.isEmpty()
                && stores.stream().noneMatch(store -> store.text().equals(id))) {
            object.addError("stores", "this store " + id + " is not among them");
        }
        return voters;
    }

    private static List<NodeId> stores(final Map<NodeId, InetSocketAddress> founders, final List<String> names) {
        if (names.isEmpty()) {
            return founders.keySet().stream().limit(STORE_COUNT).toList();
        }
        return names.stream()
                .filter(name -> name.matches(AddressParser.NODE_NAME))
                .map(NodeId::of)
                .toList();
    }

    private void checkStores(final Voters voters) {
        final int count = voters.founders().size();
        if (count % 2 == 0 || count > MAX_FOUNDERS || count < SEED_COUNT) {
            object.addError("electors", "three or five are wanted, " + count + " given");
        }
        if (voters.stores().size() != STORE_COUNT || !voters.founders().keySet().containsAll(voters.stores())) {
            object.addError("stores", "two of the electors must be stores");
        }
    }

    private LeaseTimings timings() {
        final long leaseMs = object.wholeNumber("d", false, MIN_LEASE_MS, MIN_LEASE_MS, MAX_MS);
        final long marginMs =
                object.wholeNumber("m", false, Math.max(MIN_MARGIN_MS, leaseMs / 10), MIN_MARGIN_MS, MAX_MARGIN_MS);
        try {
            return new LeaseTimings(leaseMs, marginMs, maxViewAgeMs());
        } catch (final IllegalArgumentException e) {
            object.addError("m", e.getMessage());
            return LeaseTimings.DEFAULT;
        }
    }

    /** Three quarters of the shortest of the times within which a change must be in force on all healthy nodes. */
    private long maxViewAgeMs() {
        final long shortestMs = List.of("purge-ms", "apply-ms", "drain-ms").stream()
                .mapToLong(name -> object.wholeNumber(name, false, 2000, 400, MAX_MS))
                .min()
                .orElse(2000);
        return Math.min(MAX_VIEW_AGE_MS, shortestMs * 3 / 4);
    }

    private long stopMs() {
        final long graceSeconds = object.wholeNumber("grace-s", false, 0, 0, 600);
        final long graceMs = TimeUnit.SECONDS.toMillis(graceSeconds);
        final long marginMs = Math.max(MIN_STOP_MARGIN_MS, graceMs / STOP_MARGIN_DIVISOR);
        final long defaultStopMs = graceMs > 0 ? Math.max(MIN_STOP_MS, graceMs - marginMs) : DEFAULT_STOP_MS;
        return object.wholeNumber("stop-ms", false, defaultStopMs, 0, MAX_MS);
    }

    /** The areas that fill objects separately: zones, or the regions that prefix the names of cells. */
    private List<String> regions(final List<String> locations) {
        final String spread = object.text("spread", false, "region");
        if (!Set.of("region", "zone", "none").contains(spread)) {
            object.addError("spread", "region, zone or none");
        }
        if (spread.equals("none")) {
            return List.of();
        }
        return locations.stream()
                .map(location ->
                        spread.equals("zone") ? location : location.substring(0, location.lastIndexOf('/') + 1))
                .distinct()
                .sorted()
                .toList();
    }

    private boolean json() {
        final String log = object.text("log", false, "text");
        if (!Set.of("text", "json").contains(log)) {
            object.addError("log", "text or json");
        }
        return log.equals("json");
    }

    private List<String> list(final String name) {
        object.markKnown(name);
        final Object value = members.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list && list.stream().allMatch(element -> element instanceof String)) {
            return list.stream().map(String::valueOf).collect(Collectors.toList());
        }
        object.addError(name, "a list of texts is wanted here");
        return List.of();
    }
}
