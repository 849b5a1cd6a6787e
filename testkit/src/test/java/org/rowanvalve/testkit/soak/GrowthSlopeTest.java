package org.rowanvalve.testkit.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Slopes of figures against changes, with their confidence. */
class GrowthSlopeTest {
    private static final int SAMPLES = 40;

    private static void add(final GrowthSlope slope, final Random random, final double level, final double perChange) {
        final double[] changes = new double[SAMPLES];
        final double[] figures = new double[SAMPLES];
        for (int i = 0; i < SAMPLES; i++) {
            changes[i] = i * 10;
            figures[i] = level + perChange * changes[i] + random.nextGaussian();
        }
        slope.addGroup(changes, figures);
    }

    @Test
    void growthIsFoundWhateverLevelEachProcessBeginsAt() {
        final Random random = new Random(1);
        final GrowthSlope slope = new GrowthSlope();
        add(slope, random, 1000, 0.1);
        add(slope, random, 50, 0.1);
        final GrowthSlope.Estimate estimate = slope.estimate();
        assertEquals(0.1, estimate.slope(), estimate.halfWidth() * 2);
        assertTrue(estimate.isGrowing());
        assertEquals(2 * SAMPLES, estimate.samples());
    }

    @Test
    void noiseAloneIsHardlyEverTakenForGrowth() {
        int growing = 0;
        for (int seed = 0; seed < 200; seed++) {
            final GrowthSlope slope = new GrowthSlope();
            add(slope, new Random(seed), 100, 0);
            growing += slope.estimate().isGrowing() ? 1 : 0;
        }
        assertTrue(growing <= 14, growing + " of 200");
    }

    @Test
    void tooFewSamplesTellNothing() {
        final GrowthSlope slope = new GrowthSlope();
        slope.addGroup(new double[] {0, 1}, new double[] {0, 100});
        assertFalse(slope.estimate().isGrowing());
        assertEquals(0, slope.estimate().samples());
    }

    @Test
    void changesThatStandStillTellNothing() {
        final GrowthSlope slope = new GrowthSlope();
        slope.addGroup(new double[] {5, 5, 5, 5}, new double[] {0, 1, 2, 3});
        assertFalse(slope.estimate().isGrowing());
    }
}
