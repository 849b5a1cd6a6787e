package org.rowanvalve.control;

import org.rowanvalve.common.Item;
import org.rowanvalve.common.Timing;

public record Leadership(
        String holder, String boot, long term, long beat, boolean free, long lives, long reign, long slack) {
    /** A body of a version that did not state its duration had the shards' lease. */
    long reign(final Timing t) {
        return reign > 0 ? reign : t.d();
    }

    long slack(final Timing t) {
        return reign > 0 ? slack : t.m();
    }

    public static Leadership of(final Item item) {
        return item.live() ? Json.read(item.body(), Leadership.class) : new Leadership("", "", 0, 0, true, 0, 0, 0);
    }
}
