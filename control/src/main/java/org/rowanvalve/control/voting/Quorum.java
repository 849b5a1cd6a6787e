package org.rowanvalve.control.voting;

import java.util.List;
import java.util.Set;
import org.rowanvalve.common.model.NodeId;

/**
 * The voters of one epoch, and the subset of them that are stores. If {@code stores} is empty, every voter has a disk.
 * Responses from different epochs are never counted together.
 */
public record Quorum(long epoch, List<NodeId> voters, Set<NodeId> stores) {
    public Quorum {
        voters = List.copyOf(voters);
        stores = Set.copyOf(stores);
    }

    /** The founding set. */
    public Quorum(final List<NodeId> voters, final Set<NodeId> stores) {
        this(0, voters, stores);
    }

    /** The least number of voters that is more than half of them. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** Whether these voters intersect every write quorum. */
    public boolean isReadQuorum(final Set<NodeId> responded) {
        return responded.size() >= majority();
    }

    /**
     * Whether a value that these voters have synced is chosen: they must be a majority and, if {@code stores} is not
     * empty, include at least one store.
     */
    public boolean isWriteQuorum(final Set<NodeId> responded) {
        return responded.size() >= majority()
                && (stores.isEmpty() || responded.stream().anyMatch(stores::contains));
    }

    public boolean contains(final NodeId id) {
        return voters.contains(id);
    }
}
