package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/** Collects what a run finds; the same text under the same rule counts once. Safe for many threads. */
final class SoakFindings {
    private final long startedAt = System.currentTimeMillis();
    private final List<SoakFinding> findings = new ArrayList<>();
    private final Set<String> seen = new LinkedHashSet<>();

    long elapsedMs() {
        return System.currentTimeMillis() - startedAt;
    }

    synchronized void add(final Rule rule, final String text) {
        if (seen.add(rule + text)) {
            findings.add(new SoakFinding(rule, elapsedMs(), text));
        }
    }

    synchronized List<SoakFinding> all() {
        return List.copyOf(findings);
    }
}
