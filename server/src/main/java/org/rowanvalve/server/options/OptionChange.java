package org.rowanvalve.server.options;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * What differs between two readings of a process's options.
 *
 * @param applied the options that a running process goes over to
 * @param needsStart the options that hold from its next start only
 */
public record OptionChange(List<String> applied, List<String> needsStart) {
    private record Rule(String name, boolean reloadable, Function<Options, Object> read) {}

    /** {@code first} is for the start alone and so stands in neither list. */
    private static final List<Rule> RULES = List.of(
            live("seeds", Options::seeds),
            live("reach", Options::fixedRoutes),
            live("wanted-losses", Options::toleratedLosses),
            live("extra-ratio", Options::retryRatio),
            live("extra-slack", Options::retrySlack),
            live("purge-ms, apply-ms, drain-ms", options -> options.timings().maxViewAgeMs()),
            live("stop-ms, grace-s", Options::stopTimeoutMs),
            live("notice-ms", Options::drainNoticeMs),
            live("cells, spread", options -> List.of(options.locations(), options.regions())),
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

    private static Rule live(final String name, final Function<Options, Object> value) {
        return new Rule(name, true, value);
    }

    private static Rule fixed(final String name, final Function<Options, Object> value) {
        return new Rule(name, false, value);
    }

    /** The names of all options that are compared. */
    public static List<String> names() {
        return RULES.stream()
                .flatMap(rule -> List.of(rule.name().split(", ")).stream())
                .toList();
    }

    /** Compares two readings option by option. */
    public static OptionChange between(final Options before, final Options after) {
        final List<String> taken = new ArrayList<>();
        final List<String> needsStart = new ArrayList<>();
        for (final Rule rule : RULES) {
            if (!Objects.equals(rule.read().apply(before), rule.read().apply(after))) {
                (rule.reloadable() ? taken : needsStart).add(rule.name());
            }
        }
        return new OptionChange(taken, needsStart);
    }
}
