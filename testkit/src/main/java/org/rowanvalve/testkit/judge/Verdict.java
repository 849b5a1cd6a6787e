package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The result of one rule: how many events it was checked on, and each violation with its evidence. */
public final class Verdict {
    private final int rule;
    private final String name;
    private final List<String> breaches = new ArrayList<>();
    /** The key or request of each violation that concerns one, by the violation's text. */
    private final Map<String, String> subjects = new HashMap<>();

    private long checked;
    private long excused;

    Verdict(final int rule, final String name) {
        this.rule = rule;
        this.name = name;
    }

    void check() {
        checked++;
    }

    /** Not looked at, since a trouble of that very node explains it. */
    void excuse() {
        excused++;
    }

    void excuse(final long n) {
        excused += n;
    }

    void check(final long n) {
        checked += n;
    }

    void breach(final String text) {
        breaches.add(text);
    }

    /** A violation that concerns one key or request. */
    void breach(final String text, final String keyOrRequest) {
        breach(text);
        subjects.put(text, keyOrRequest);
    }

    /** The key or request that a violation concerns. */
    Optional<String> subject(final String breach) {
        return Optional.ofNullable(subjects.get(breach));
    }

    public int rule() {
        return rule;
    }

    public long checked() {
        return checked;
    }

    public List<String> breaches() {
        return breaches;
    }

    public String line() {
        final String end = checked == 0
                ? "not checked"
                : breaches.isEmpty()
                        ? "kept, checked on " + checked
                        : "BROKEN " + breaches.size() + " times, checked on " + checked;
        final String rest = excused == 0
                ? ""
                : String.format(java.util.Locale.ROOT, ", %.1f%% excused", 100.0 * excused / (excused + checked));
        return String.format("rule %2d %-48s %s", rule, name, end + rest);
    }
}
