package org.rowanvalve.testkit.soak;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.rowanvalve.testkit.scale.ProcessorTime;

/**
 * What a soak run did and found.
 *
 * @param played disturbances that were brought about
 * @param skipped disturbances whose machine was down or busy
 * @param changes acknowledged changes
 * @param unclear changes without a clear answer
 * @param sent requests on kept connections
 * @param served requests of those that were answered with success
 * @param recoveryMs by round
 * @param processor how busy this machine was: on one that lacks processor time, time limits tell little
 * @param propagationMs by round, from sending a change in quiet times until every node shows it
 */
public record SoakReport(
        SoakPlan plan,
        int played,
        int skipped,
        long changes,
        long unclear,
        long sent,
        long served,
        List<Long> recoveryMs,
        List<Long> propagationMs,
        Map<ResourceSample.Figure, GrowthSlope.Estimate> growth,
        ProcessorTime.Shares processor,
        List<SoakFinding> findings) {

    static Map<ResourceSample.Figure, GrowthSlope.Estimate> growth(final NodeMonitor monitor) {
        final Map<ResourceSample.Figure, GrowthSlope.Estimate> growth = new EnumMap<>(ResourceSample.Figure.class);
        for (final ResourceSample.Figure figure : ResourceSample.Figure.values()) {
            growth.put(figure, monitor.growth(figure));
        }
        return growth;
    }

    public boolean isClean() {
        return findings.isEmpty();
    }

    /** The report as lines of text. */
    public String text() {
        final StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "soak %s seed %d: %s; %d edges, %d shields, %d regions, %d rounds%n",
                plan.place(),
                plan.seed(),
                isClean() ? "clean" : "BROKEN",
                plan.edges(),
                plan.shields(),
                plan.regions(),
                plan.rounds().size()));
        text.append(String.format(
                Locale.ROOT,
                "  disturbances %d, skipped %d; changes acknowledged %d, without clear answer %d;"
                        + " requests %d, served %d%n",
                played,
                skipped,
                changes,
                unclear,
                sent,
                served));
        text.append("  recovery after each round, ms: ").append(recoveryMs).append('\n');
        text.append("  a change everywhere, ms: ").append(propagationMs).append('\n');
        text.append("  this machine's processors: ").append(processor).append('\n');
        growth.forEach((figure, estimate) -> text.append("  ")
                .append(figure.label())
                .append(": ")
                .append(estimate)
                .append('\n'));
        findings.forEach(finding -> text.append("  ").append(finding).append('\n'));
        return text.toString();
    }
}
