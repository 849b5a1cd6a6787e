package org.rowanvalve.server.options;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * The options that differ between two readings of a process's options.
 *
 * @param applied the changed options that a running process applies
 * @param needsStart the changed options that take effect at the next start
 */
public record OptionChange(List<String> applied, List<String> needsStart) {
    private record Rule(String name, boolean reloadable, Function<Options, Object> read) {}

    /**
     * The compared options. {@code first} is only used at a start, {@code losses} only in validation, and {@code
     * seed-port} is compared as a part of {@code seeds}.
     */
    private static final List<Rule> RULES = List.of(
            reloadable("seeds", Options::seeds),
            reloadable("reach", Options::fixedRoutes),
            reloadable("wanted-losses", Options::toleratedLosses),
            reloadable("extra-ratio", Options::retryRatio),
            reloadable("extra-slack", Options::retrySlack),
            reloadable(
                    "purge-ms, apply-ms, drain-ms", options -> options.timings().maxViewAgeMs()),
            reloadable("stop-ms, grace-s", Options::stopTimeoutMs),
            reloadable("notice-ms", Options::drainNoticeMs),
            reloadable("cells, spread", options -> List.of(options.locations(), options.regions())),
            fixed("id", Options::id),
            fixed("cell", Options::location),
            fixed("wire", Options::peerAddress),
            fixed("http", Options::controlAddress),
            fixed("door", Options::clientAddress),
            fixed("faces", Options::furtherAddresses),
            fixed("data", Options::dataDirectory),
            fixed("electors", options -> options.votersAreLearned() ? List.of() : options.founders()),
            fixed("stores", options -> options.quorum().stores()),
            fixed("d", options -> options.timings().leaseMs()),
            fixed("m", options -> options.timings().marginMs()),
            fixed("shards", Options::shards),
            fixed("cache-bytes", Options::cacheBytes),
            fixed("key-window", Options::keyWindowMs),
            fixed("update-bytes", options -> options.updateLimits().updateBytes()),
            fixed("configuration-bytes", options -> options.updateLimits().configurationBytes()),
            fixed("descriptors", Options::descriptors),
            fixed("log", Options::jsonLog));

    private static Rule reloadable(final String name, final Function<Options, Object> value) {
        return new Rule(name, true, value);
    }

    private static Rule fixed(final String name, final Function<Options, Object> value) {
        return new Rule(name, false, value);
    }

    /** Returns the names of all compared options. */
    public static List<String> names() {
        return RULES.stream()
                .flatMap(rule -> List.of(rule.name().split(", ")).stream())
                .toList();
    }

    /** Compares two readings option by option. */
    public static OptionChange between(final Options before, final Options after) {
        final List<String> applied = new ArrayList<>();
        final List<String> needsStart = new ArrayList<>();
        for (final Rule rule : RULES) {
            if (!Objects.equals(rule.read().apply(before), rule.read().apply(after))) {
                (rule.reloadable() ? applied : needsStart).add(rule.name());
            }
        }
        return new OptionChange(applied, needsStart);
    }
}
