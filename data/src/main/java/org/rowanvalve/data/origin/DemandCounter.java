package org.rowanvalve.data.origin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.message.ShardDemand;

/** Counts the wanted origin requests by service and shard since the counts were last read. */
final class DemandCounter {
    private final Map<String, Map<Integer, Integer>> counts = new HashMap<>();

    void add(final String service, final int shard) {
        if (shard != OriginRequest.NO_SHARD) {
            counts.computeIfAbsent(service, k -> new HashMap<>()).merge(shard, 1, Integer::sum);
        }
    }

    List<ShardDemand> drain() {
        final List<ShardDemand> demand = new ArrayList<>();
        counts.forEach((service, byShard) ->
                byShard.forEach((shard, count) -> demand.add(new ShardDemand(service, shard, count))));
        counts.clear();
        return demand;
    }
}
