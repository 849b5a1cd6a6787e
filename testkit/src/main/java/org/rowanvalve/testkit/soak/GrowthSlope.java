package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * How a figure grows with the number of changes: an ordinary least-squares slope over groups of samples, where each
 * group (one process, from its start to its end) has a level of its own.
 */
final class GrowthSlope {
    /** About 95 of 100 estimates lie within so many standard errors of the true slope. */
    private static final double CONFIDENCE_FACTOR = 1.96;

    private static final int MIN_GROUP = 3;

    private record Point(double x, double y) {}

    private final List<Point> centred = new ArrayList<>();
    private int groups;

    /**
     * An estimate.
     *
     * @param slope units of the figure for one change
     * @param halfWidth half of the confidence interval, in the same unit
     */
    record Estimate(double slope, double halfWidth, int samples) {
        /** Whether the figure grows, for all that can be told. */
        boolean isGrowing() {
            return slope - halfWidth > 0;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.4f +- %.4f per change, %d samples", slope, halfWidth, samples);
        }
    }

    /** Samples of one process: {@code changes[i]} changes had been made when the figure was {@code figures[i]}. */
    void addGroup(final double[] changes, final double[] figures) {
        if (changes.length < MIN_GROUP) {
            return;
        }
        final double meanX = mean(changes);
        final double meanY = mean(figures);
        for (int i = 0; i < changes.length; i++) {
            centred.add(new Point(changes[i] - meanX, figures[i] - meanY));
        }
        groups++;
    }

    private static double mean(final double[] values) {
        double sum = 0;
        for (final double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    /** Zero, with an unbounded interval, where the samples cannot tell. */
    Estimate estimate() {
        double sxx = 0;
        double sxy = 0;
        for (final Point point : centred) {
            sxx += point.x() * point.x();
            sxy += point.x() * point.y();
        }
        final int freedom = centred.size() - groups - 1;
        if (sxx == 0 || freedom < 1) {
            return new Estimate(0, Double.POSITIVE_INFINITY, centred.size());
        }
        final double slope = sxy / sxx;
        double residuals = 0;
        for (final Point point : centred) {
            final double residual = point.y() - slope * point.x();
            residuals += residual * residual;
        }
        return new Estimate(slope, CONFIDENCE_FACTOR * Math.sqrt(residuals / freedom / sxx), centred.size());
    }
}
