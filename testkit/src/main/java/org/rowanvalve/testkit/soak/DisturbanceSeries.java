package org.rowanvalve.testkit.soak;

import java.util.List;

/** Disturbances of one kind, one a period; series of a round overlap. */
public record DisturbanceSeries(DisturbanceKind kind, long periodMs, List<Disturbance> disturbances) {}
