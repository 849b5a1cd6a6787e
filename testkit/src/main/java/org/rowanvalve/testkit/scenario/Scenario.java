package org.rowanvalve.testkit.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.json.JsonReader;

/**
 * The faults of a run: what, which machines, when, for how long. {@code closing}: the fault that is injected once all
 * others are over.
 */
public record Scenario(String name, Deployment place, long seconds, List<Step> steps, List<Step> closing) {
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
            "seed-turnover",
            "give-up");

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
            "seed-turnover",
            "give-up");
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

    public Scenario(final String name, final Deployment deployment, final long seconds, final List<Step> steps) {
        this(name, deployment, seconds, steps, List.of());
    }

    private static Set<String> with(final Set<String> some, final String... more) {
        final Set<String> all = new TreeSet<>(some);
        all.addAll(List.of(more));
        return all;
    }

    public static Set<String> troubles(final Deployment deployment) {
        return deployment.shieldRun() ? SHIELDS : TROUBLES;
    }

    /** The variants of a trouble; those that state versions are of places whose shields vote. */
    static Set<String> ways(final Deployment deployment, final String trouble) {
        return deployment.shieldRun() ? WAYS.getOrDefault(trouble, Set.of()) : Set.of();
    }

    public static Scenario read(final byte[] data, final List<ValidationError> faults) {
        final Object value = JsonReader.read(data, faults);
        final JsonObjectReader object = new JsonObjectReader(value, "", faults);
        final String name = object.text("name", true, "");
        final String place = object.oneOf("place", Deployment.NAMES);
        final long seconds = object.wholeNumber("seconds", true, 60, 1, 3600);
        object.markKnown("steps");
        final Deployment at = Deployment.NAMES.contains(place) ? Deployment.of(place) : Deployment.kilimanjaro();
        final List<Step> steps = new ArrayList<>();
        if (value instanceof Map<?, ?> m && m.get("steps") instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                steps.add(step(new JsonObjectReader(list.get(i), "/steps/" + i, faults), at, seconds));
            }
        } else {
            object.addError("steps", "a list is wanted here");
        }
        object.rejectUnknownMembers();
        return new Scenario(name, at, seconds, steps);
    }

    private static List<String> list(final String text) {
        return Arrays.stream(text.split(",")).filter(w -> !w.isEmpty()).toList();
    }

    private static Step step(final JsonObjectReader object, final Deployment deployment, final long seconds) {
        final String what = object.oneOf("trouble", troubles(deployment));
        final long at = object.wholeNumber("at", true, 0, 0, seconds * 1000);
        final long ms = object.wholeNumber("ms", true, 0, 0, 3_600_000);
        final double size = object.number("size", false, 0, 0, 1_000_000).doubleValue();
        final List<String> who = list(object.text("who", !NOBODY.contains(what), ""));
        if (!NOBODY.contains(what)) {
            targets(object, deployment, what, who);
        }
        final List<String> how = list(object.text("how", false, ""));
        how.stream()
                .filter(h -> !ways(deployment, what).contains(h))
                .forEach(h -> object.addError("how", what + " has no variant " + h));
        object.rejectUnknownMembers();
        return new Step(at, what, who, ms, size, Set.copyOf(how));
    }

    private static void targets(
            final JsonObjectReader object, final Deployment deployment, final String what, final List<String> who) {
        final List<String> names = ORIGINS.contains(what) ? deployment.origins() : deployment.machines();
        final Set<String> words = deployment.shieldRun() ? SHIELD_WORDS : WORDS;
        who.stream()
                .filter(w -> !names.contains(w) && !words.contains(w))
                .forEach(w -> object.addError("who", "no target is named " + w));
        if (DISKS.contains(what)) {
            who.stream()
                    .filter(w -> names.contains(w) && !deployment.disks().contains(w))
                    .forEach(w -> object.addError("who", w + " has no disk"));
        }
    }
}
