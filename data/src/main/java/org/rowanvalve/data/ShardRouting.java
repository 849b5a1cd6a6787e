package org.rowanvalve.data;

import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.Match;
import org.rowanvalve.control.Plan;

/** Which shard an object or an operation belongs to; the same on every node. */
final class ShardRouting {
    private ShardRouting() {}

    /** An object's or operation's name; the same on every node. */
    static String slot(final ConfiguredRoute row, final String path, final String key) {
        return row.match().slot(row.name(), row.match().is(Match.ONCE) && key != null ? "#" + key : path);
    }

    /**
     * Objects belong to one of the shards of the place that asks, so that what a place reads is filled there; operations to
     * one of all, whoever asks.
     */
    static int shard(
            final ConfiguredRoute row,
            final String path,
            final String key,
            final int shards,
            final int places,
            final int place) {
        final Match m = row.match();
        if (m.host().isEmpty()) {
            return Plan.shard(row.name(), m.service(), m.is(Match.ONCE) && key != null ? key : path, shards);
        }
        final boolean near = m.is(Match.CACHED) && places > 1 && shards >= places;
        return near
                ? Plan.shard("", "", slot(row, path, key), shards / places) * places + place
                : Plan.shard("", "", slot(row, path, key), shards);
    }
}
