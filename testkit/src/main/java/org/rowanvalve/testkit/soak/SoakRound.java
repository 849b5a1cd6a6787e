package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * A time of overlapping series, after which everything is brought back and the network has to recover.
 *
 * @param lengthMs how long the series last
 */
public record SoakRound(long lengthMs, List<DisturbanceSeries> series) {
    /** The same round without one of its series. */
    SoakRound without(final int index) {
        final List<DisturbanceSeries> rest = new ArrayList<>(series);
        rest.remove(index);
        return new SoakRound(lengthMs, rest);
    }
}
