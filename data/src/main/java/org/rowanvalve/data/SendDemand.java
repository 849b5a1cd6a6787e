package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.Msg;

/** Sends that were wanted, by service and shard, since they were last asked for. */
final class SendDemand {
    private final Map<String, Map<Integer, Integer>> counts = new HashMap<>();

    void add(final String service, final int shard) {
        if (shard != OriginRequest.NONE) {
            counts.computeIfAbsent(service, k -> new HashMap<>()).merge(shard, 1, Integer::sum);
        }
    }

    List<Msg.Wish> take() {
        final List<Msg.Wish> list = new ArrayList<>();
        counts.forEach((service, by) -> by.forEach((shard, n) -> list.add(new Msg.Wish(service, shard, n))));
        counts.clear();
        return list;
    }
}
