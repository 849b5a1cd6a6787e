package org.rowanvalve.testkit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.common.Finding;
import org.rowanvalve.control.JsonReader;
import org.rowanvalve.control.JsonShape;

/** A day's troubles: what, whom, when, for how long. {@code closing}: what strikes once all others are over. */
public record Script(String name, Place place, long seconds, List<Step> steps, List<Step> closing) {
    public static final Set<String> TROUBLES = Set.of(
            "kill",
            "power",
            "lose-disk",
            "freeze",
            "stall",
            "full",
            "cut",
            "slow",
            "loss",
            "drift",
            "origin-crash",
            "origin-slow",
            "origin-lose",
            "origin-wrong",
            "origin-swap",
            "origin-leave",
            "purges",
            "storm",
            "invalid",
            "surge",
            "restart",
            "origin-replace",
            "blackout",
            "ack-lose");
    /** Of a place whose shields vote: no stores, and operators with versions of their own. */
    public static final Set<String> SHIELDS = with(
            TROUBLES,
            "ack-kill",
            "herd",
            "halves",
            "race",
            "release",
            "origin-surplus",
            "origin-reuse",
            "ack-lost",
            "clock-step",
            "disk-slow",
            "reset-conns",
            "core-cut",
            "after-ack-kill",
            "after-ack-wipe",
            "roll",
            "replace-core",
            "seed-turnover");

    public static final Set<String> ORIGINS = Set.of(
            "release",
            "origin-surplus",
            "origin-reuse",
            "origin-replace",
            "origin-crash",
            "origin-slow",
            "origin-lose",
            "origin-wrong",
            "origin-swap",
            "origin-leave");
    static final Set<String> DISKS = Set.of(
            "lose-disk",
            "stall",
            "full",
            "blackout",
            "ack-lose",
            "ack-kill",
            "disk-slow",
            "core-cut",
            "after-ack-kill",
            "after-ack-wipe",
            "replace-core");
    private static final Set<String> NOBODY = Set.of(
            "slow",
            "loss",
            "purges",
            "storm",
            "invalid",
            "surge",
            "herd",
            "halves",
            "race",
            "ack-lost",
            "seed-turnover");
    private static final Set<String> WORDS = Set.of("authority", "all");
    private static final Set<String> SHIELD_WORDS = Set.of("authority", "all", "acker", "shields", "edges", "seed");

    /** Changes of the configuration that are sent to a machine as it returns, or while it is cut off. */
    public static final Set<String> CALLS = Set.of("meet", "race", "hard");

    private static final Map<String, Set<String>> WAYS = Map.of(
            "replace-core",
            Set.of("planned"),
            "core-cut",
            with(CALLS, "one-way", "both", "seeds"),
            "after-ack-kill",
            Set.of("kill", "timed", "taken"),
            "after-ack-wipe",
            Set.of("timed", "taken"),
            "roll",
            Set.of("busy", "remove"),
            "kill",
            CALLS,
            "power",
            CALLS,
            "freeze",
            CALLS,
            "cut",
            CALLS,
            "clock-step",
            Set.of("back", "ahead"));

    /**
     * {@code at} and {@code ms} in milliseconds from the beginning of traffic; {@code size} is the trouble's own figure,
     * {@code how} its variants.
     */
    public record Step(long at, String trouble, List<String> who, long ms, double size, Set<String> how) {
        public Step(final long at, final String trouble, final List<String> who, final long ms, final double size) {
            this(at, trouble, who, ms, size, Set.of());
        }

        public boolean how(final String variant) {
            return how.contains(variant);
        }

        Step at(final long when) {
            return new Step(when, trouble, who, ms, size, how);
        }
    }

    public Script(final String name, final Place place, final long seconds, final List<Step> steps) {
        this(name, place, seconds, steps, List.of());
    }

    private static Set<String> with(final Set<String> some, final String... more) {
        final Set<String> all = new TreeSet<>(some);
        all.addAll(List.of(more));
        return all;
    }

    public static Set<String> troubles(final Place place) {
        return place.shieldRun() ? SHIELDS : TROUBLES;
    }

    /** The variants of a trouble; those that state versions are of places whose shields vote. */
    static Set<String> ways(final Place place, final String trouble) {
        return place.shieldRun() ? WAYS.getOrDefault(trouble, Set.of()) : Set.of();
    }

    public static Script read(final byte[] data, final List<Finding> faults) {
        final Object o = JsonReader.read(data, faults);
        final JsonShape s = new JsonShape(o, "", faults);
        final String name = s.text("name", true, "");
        final String place = s.word("place", Place.NAMES);
        final long seconds = s.whole("seconds", true, 60, 1, 3600);
        s.known("steps");
        final Place at = Place.NAMES.contains(place) ? Place.of(place) : Place.kilimanjaro();
        final List<Step> steps = new ArrayList<>();
        if (o instanceof Map<?, ?> m && m.get("steps") instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                steps.add(step(new JsonShape(list.get(i), "/steps/" + i, faults), at, seconds));
            }
        } else {
            s.fault("steps", "a list is wanted here");
        }
        s.end();
        return new Script(name, at, seconds, steps);
    }

    private static List<String> list(final String text) {
        return Arrays.stream(text.split(",")).filter(w -> !w.isEmpty()).toList();
    }

    private static Step step(final JsonShape s, final Place place, final long seconds) {
        final String what = s.word("trouble", troubles(place));
        final long at = s.whole("at", true, 0, 0, seconds * 1000);
        final long ms = s.whole("ms", true, 0, 0, 3_600_000);
        final double size = s.number("size", false, 0, 0, 1_000_000).doubleValue();
        final List<String> who = list(s.text("who", !NOBODY.contains(what), ""));
        if (!NOBODY.contains(what)) {
            targets(s, place, what, who);
        }
        final List<String> how = list(s.text("how", false, ""));
        how.stream()
                .filter(h -> !ways(place, what).contains(h))
                .forEach(h -> s.fault("how", what + " has no variant " + h));
        s.end();
        return new Step(at, what, who, ms, size, Set.copyOf(how));
    }

    private static void targets(final JsonShape s, final Place place, final String what, final List<String> who) {
        final List<String> names = ORIGINS.contains(what) ? place.origins() : place.machines();
        final Set<String> words = place.shieldRun() ? SHIELD_WORDS : WORDS;
        who.stream()
                .filter(w -> !names.contains(w) && !words.contains(w))
                .forEach(w -> s.fault("who", "no target is named " + w));
        if (DISKS.contains(what)) {
            who.stream()
                    .filter(w -> names.contains(w) && !place.disks().contains(w))
                    .forEach(w -> s.fault("who", w + " has no disk"));
        }
    }
}
