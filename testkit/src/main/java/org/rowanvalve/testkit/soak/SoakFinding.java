package org.rowanvalve.testkit.soak;

import java.util.Locale;

/**
 * Something that a soak run found wrong.
 *
 * @param atMs milliseconds since the run began
 */
public record SoakFinding(Rule rule, long atMs, String text) {
    /** What a soak run checks. */
    public enum Rule {
        /** An acknowledged change is in force at every node after each round. */
        ACKNOWLEDGED_CHANGE_LOST,
        /** Within a process the version of an item never falls. */
        VERSION_FELL,
        /** A read at a node shows what was acknowledged before it. */
        STALE_READ,
        /** One version has one body. */
        TWO_BODIES,
        /** In quiet times a change is in force at every node in time. */
        CHANGE_NOT_IN_FORCE,
        /** Service is back in time after each round. */
        NOT_RECOVERED,
        /** A graceful shutdown ends in time. */
        SHUTDOWN_TOO_LONG,
        /** No process ends by itself. */
        ENDED_BY_ITSELF,
        /** During a graceful shutdown no request is cut after an origin has got it. */
        CUT_AFTER_PASSING_ON,
        /** One of the judge's rules on requests. */
        REQUEST_RULE;

        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s at %.1f s: %s", rule.label(), atMs / 1000.0, text);
    }
}
