package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.NodeId;

/** Which shield a shard goes to. Shards belong to places in turn; a place's shields hold its shards while there are any. */
final class OwnerChoice {
    private final Places places;
    private final Membership members;

    OwnerChoice(final Places places, final Membership members) {
        this.places = places;
        this.members = members;
    }

    /**
     * {@code calm}: those of the {@code able} shields that have been heard of for a while. An owner that is back counts,
     * though it has not been heard of for long: it holds the shard already.
     */
    NodeId owner(final int shard, final NodeId now, final List<NodeId> able, final List<NodeId> calm) {
        if (now == null || !able.contains(now) || calm.contains(now)) {
            return Plan.assign(shard, local(shard, calm));
        }
        final List<NodeId> list = new ArrayList<>(calm);
        list.add(now);
        return Plan.assign(shard, local(shard, list));
    }

    private List<NodeId> local(final int shard, final List<NodeId> calm) {
        final List<NodeId> near = places.count() < 2
                ? calm
                : calm.stream()
                        .filter(n -> places.at(members.get(n).cell()) == shard % places.count())
                        .toList();
        return near.isEmpty() ? calm : near;
    }
}
