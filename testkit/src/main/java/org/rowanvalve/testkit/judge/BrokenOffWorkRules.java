package org.rowanvalve.testkit.judge;

/** Rules on requests that the system broke off while an origin was at work on them. */
final class BrokenOffWorkRules {
    private static final String REVOKED = "lease-revoked";
    private static final String PROCESS_END = "process-end";

    private BrokenOffWorkRules() {}

    /**
     * A planned move breaks off nothing: neither the revocation of a lease, whoever holds the shard next, nor the end of a
     * process whose grace is not over.
     */
    static Verdict planned(final RunFacts facts, final Verdict verdict) {
        for (final RunFacts.Row row : facts.nodes("WORK_BROKEN_OFF")) {
            verdict.check();
            final boolean graceLeft =
                    row.text("cause").equals(PROCESS_END) && row.has("graceLeftMs") && row.num("graceLeftMs") > 0;
            if (row.text("cause").equals(REVOKED) || graceLeft) {
                verdict.breach(
                        row.text("request") + " (" + row.text("kind") + ") was broken off by " + row.text("node")
                                + " at " + row.t() + ", " + row.text("cause") + ", after " + row.num("workedMs")
                                + " ms of work at " + row.text("origin"),
                        row.text("request"));
            }
        }
        return verdict;
    }
}
