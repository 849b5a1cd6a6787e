package org.rowanvalve.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * What differs between two readings of a process's options.
 *
 * @param taken the options that a running process goes over to
 * @param needsStart the options that hold from its next start only
 */
record OptionChange(List<String> taken, List<String> needsStart) {
    private record Rule(String name, boolean live, Function<Options, Object> value) {}

    /** {@code first} is for the start alone and so stands in neither list. */
    private static final List<Rule> RULES = List.of(
            live("seeds", Options::seeds),
            live("reach", Options::reach),
            live("wanted-losses", Options::wantedLosses),
            live("extra-ratio", Options::extraRatio),
            live("extra-slack", Options::extraSlack),
            live("purge-ms, apply-ms, drain-ms", o -> o.timing().fresh()),
            live("stop-ms, grace-s", Options::stopMs),
            live("notice-ms", Options::noticeMs),
            live("cells, spread", o -> List.of(o.cells(), o.places())),
            fixed("id", Options::id),
            fixed("cell", Options::cell),
            fixed("wire", Options::wire),
            fixed("http", Options::http),
            fixed("door", Options::door),
            fixed("faces", Options::faces),
            fixed("data", Options::data),
            fixed("electors", o -> o.learns() ? List.of() : o.electors()),
            fixed("stores", o -> o.quorum().stores()),
            fixed("d", o -> o.timing().d()),
            fixed("m", o -> o.timing().m()),
            fixed("shards", Options::shards),
            fixed("cache-bytes", Options::cacheBytes),
            fixed("key-window", Options::keyWindowMs),
            fixed("descriptors", Options::descriptors),
            fixed("log", Options::json));

    private static Rule live(final String name, final Function<Options, Object> value) {
        return new Rule(name, true, value);
    }

    private static Rule fixed(final String name, final Function<Options, Object> value) {
        return new Rule(name, false, value);
    }

    /** The names of all options that are compared. */
    static List<String> names() {
        return RULES.stream()
                .flatMap(r -> List.of(r.name().split(", ")).stream())
                .toList();
    }

    static OptionChange between(final Options before, final Options after) {
        final List<String> taken = new ArrayList<>();
        final List<String> needsStart = new ArrayList<>();
        for (final Rule rule : RULES) {
            if (!Objects.equals(rule.value().apply(before), rule.value().apply(after))) {
                (rule.live() ? taken : needsStart).add(rule.name());
            }
        }
        return new OptionChange(taken, needsStart);
    }
}
