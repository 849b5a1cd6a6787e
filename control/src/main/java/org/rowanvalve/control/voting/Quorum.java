package org.rowanvalve.control.voting;

import java.util.List;
import java.util.Set;
import org.rowanvalve.common.model.NodeId;

/**
 * The voters of one epoch, and which of them are stores; where none is named, every voter has a disk. Answers that were
 * given in different epochs never count together.
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

    /** The number of voters that is more than half of them. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** Whether these responses meet every write quorum. */
    public boolean isReadQuorum(final Set<NodeId> responded) {
        return responded.size() >= majority();
    }

    /** Whether what these voters synced is chosen: a majority, and among them a store where stores are named. */
    public boolean isWriteQuorum(final Set<NodeId> responded) {
        return responded.size() >= majority()
                && (stores.isEmpty() || responded.stream().anyMatch(stores::contains));
    }

    public boolean contains(final NodeId id) {
        return voters.contains(id);
    }
}
